package org.chalkhollow.core.jobs

import org.chalkhollow.model.Resources
import org.chalkhollow.model.Team

/**
 * Owns what each team uses, counting every attempt that may be on a machine, against its guarantee and its limit. Teams
 * are indices into the settings' list; a job of a team that the settings no longer name has a negative one, and waits.
 * Written by `AttemptReconciler`, read by placement, requests and the status report.
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

    /** How many more tasks of this size the team's limit allows, on top of [extra]. */
    fun headroom(team: Int, taskResources: Resources, extra: Resources): Int {
        if (team < 0) return 0
        val cpusLeft = teams[team].cpusMax - cpus[team] - extra.cpus
        val gpusLeft = teams[team].gpusMax - gpus[team] - extra.gpus
        return countWithin(cpusLeft, gpusLeft, taskResources)
    }

    /** Whether this much in all is within what the team is guaranteed. */
    fun withinGuarantee(team: Int, cpus: Double, gpus: Double): Boolean =
        team >= 0 && cpus <= teams[team].cpus + Resources.EPSILON && gpus <= teams[team].gpus + Resources.EPSILON

    fun usedCpus(team: Int): Double = cpus[team]

    /** Whether the team uses more than its guarantee. */
    fun exceedsGuarantee(team: Int): Boolean =
        cpus[team] > teams[team].cpus + Resources.EPSILON || gpus[team] > teams[team].gpus + Resources.EPSILON

    /** Whether the team's limit would allow one task of this size if nothing else of the team's ran. */
    fun couldEverFit(team: Int, taskResources: Resources): Boolean =
        countWithin(teams[team].cpusMax, teams[team].gpusMax, taskResources) > 0

    /** Limits are on CPUs and GPUs alone, so memory does not count. */
    private fun countWithin(cpusLeft: Double, gpusLeft: Double, taskResources: Resources): Int {
        val task = Resources(taskResources.cpus, taskResources.gpus, 0.0)
        return task.countIn(Resources(maxOf(0.0, cpusLeft), maxOf(0.0, gpusLeft), 0.0))
    }
}
