package org.chalkhollow.core.jobs

import org.chalkhollow.model.Resources
import org.chalkhollow.model.Team

/** Owns what each team uses, counting every attempt that may be on a machine, against its guarantee and its limit. */
class Quotas(private val teams: List<Team>) {
    private val cpus = DoubleArray(teams.size)
    private val gpus = DoubleArray(teams.size)

    fun clear() {
        cpus.fill(0.0)
        gpus.fill(0.0)
    }

    fun add(team: Int, taskResources: Resources, count: Int = 1) {
        if (team < 0) return // a team that the settings no longer name: its jobs wait
        cpus[team] += taskResources.cpus * count
        gpus[team] += taskResources.gpus * count
    }

    fun remove(team: Int, taskResources: Resources) = add(team, taskResources, -1)

    /** How many more tasks of this size the team's limit allows, on top of [extra]. */
    fun headroom(team: Int, taskResources: Resources, extra: Resources): Int =
        if (team <
            0
        ) {
            0
        } else {
            count(
                teams[team].cpusMax - cpus[team] - extra.cpus,
                teams[team].gpusMax - gpus[team] - extra.gpus,
                taskResources,
            )
        }

    /** Whether this much fits into what the team is guaranteed. */
    fun withinGuarantee(team: Int, cpus: Double, gpus: Double): Boolean =
        team >= 0 && cpus <= teams[team].cpus + Resources.EPSILON && gpus <= teams[team].gpus + Resources.EPSILON

    /** CPUs that the team uses. */
    fun usedCpus(team: Int): Double = cpus[team]

    /** Whether the team runs more than its guarantee. */
    fun exceedsGuarantee(team: Int): Boolean =
        cpus[team] > teams[team].cpus + Resources.EPSILON || gpus[team] > teams[team].gpus + Resources.EPSILON

    /** Whether one task of this size could ever be allowed. */
    fun couldEverFit(team: Int, taskResources: Resources): Boolean =
        count(teams[team].cpusMax, teams[team].gpusMax, taskResources) > 0

    private fun count(cpusLeft: Double, gpusLeft: Double, taskResources: Resources): Int =
        Resources(
            taskResources.cpus,
            taskResources.gpus,
            0.0,
        ).countIn(Resources(maxOf(0.0, cpusLeft), maxOf(0.0, gpusLeft), 0.0))
}
