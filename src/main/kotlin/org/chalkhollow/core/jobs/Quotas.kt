package org.chalkhollow.core.jobs

import org.chalkhollow.model.Resources
import org.chalkhollow.model.Team

/**
 * Owns how many resources each team uses, counting every attempt that may be on a machine, and compares this with the
 * team's guarantee and limit. Teams are indices into the settings' list; a job whose team is no longer in the settings
 * has a negative index and stays pending. Written by `AttemptReconciler`, read by placement, requests and the status
 * report.
 */
class Quotas(private val teams: List<Team>) {
    private val cpus = DoubleArray(teams.size)
    private val gpus = DoubleArray(teams.size)

    fun clear() {
        cpus.fill(0.0)
        gpus.fill(0.0)
    }

    fun add(team: Int, taskResources: Resources, count: Int = 1) {
        if (team < 0) return
        cpus[team] += taskResources.cpus * count
        gpus[team] += taskResources.gpus * count
    }

    fun remove(team: Int, taskResources: Resources) = add(team, taskResources, -1)

    /** How many more tasks of this size the team's limit allows in addition to [extra]. */
    fun headroom(team: Int, taskResources: Resources, extra: Resources): Int {
        if (team < 0) return 0
        val cpusLeft = teams[team].cpusMax - cpus[team] - extra.cpus
        val gpusLeft = teams[team].gpusMax - gpus[team] - extra.gpus
        return countWithin(cpusLeft, gpusLeft, taskResources)
    }

    /** Whether [cpus] and [gpus] in total are within the team's guarantee. */
    fun withinGuarantee(team: Int, cpus: Double, gpus: Double): Boolean =
        team >= 0 && cpus <= teams[team].cpus + Resources.EPSILON && gpus <= teams[team].gpus + Resources.EPSILON

    fun usedCpus(team: Int): Double = cpus[team]

    /** Whether the team uses more than its guarantee. */
    fun exceedsGuarantee(team: Int): Boolean =
        cpus[team] > teams[team].cpus + Resources.EPSILON || gpus[team] > teams[team].gpus + Resources.EPSILON

    /** Whether the team's limit allows one task of this size when the team uses nothing else. */
    fun couldEverFit(team: Int, taskResources: Resources): Boolean =
        countWithin(teams[team].cpusMax, teams[team].gpusMax, taskResources) > 0

    /** Limits apply to CPUs and GPUs only, so memory does not count. */
    private fun countWithin(cpusLeft: Double, gpusLeft: Double, taskResources: Resources): Int {
        val task = Resources(taskResources.cpus, taskResources.gpus, 0.0)
        return task.countIn(Resources(maxOf(0.0, cpusLeft), maxOf(0.0, gpusLeft), 0.0))
    }
}
