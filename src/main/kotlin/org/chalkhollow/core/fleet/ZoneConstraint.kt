package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.placement.MachineSelector
import org.chalkhollow.core.placement.PlacementRound

/**
 * The rule on zones of one job, `together` or `spread`, counted against every attempt that may be on a machine,
 * wherever it may be: an attempt that cannot be disproved counts as there. Made by [PlacementRound] and
 * [MachineSelector] for each pass over a job.
 */
class ZoneConstraint(private val job: OpenJob, fleet: Fleet) {
    private val perZone = HashMap<Int, Int>()
    private var unknown = 0
    private var only = -1
    private val most = (job.spec.tasks + 1) / 2

    init {
        if (job.spec.together || job.spec.spread) {
            for (m in fleet.machines) {
                val n = m.attempts.count { it.job === job && it.phase != Attempt.Phase.EXITED }
                if (n == 0) continue
                if (m.zone < 0) unknown += n else perZone.merge(m.zone, n, Int::plus)
            }
            if (job.spec.together && perZone.isNotEmpty()) only = perZone.keys.first()
        }
    }

    /**
     * Whether a machine in [zone] could take a task of the job as things stand; any zone may yet be chosen for one that
     * has none.
     */
    fun admits(zone: Int): Boolean = (only < 0 || zone == only) && spreadRoom(zone) > 0

    /** A task may be in a zone that is not known: `together` has to wait. */
    val blocked: Boolean get() = job.spec.together && (unknown > 0 || perZone.size > 1)

    fun chooseZone(machines: List<Machine>) {
        if (only >= 0) return
        val room = HashMap<Int, Int>()
        for (m in machines) room.merge(m.zone, job.taskResources.countIn(m.roundRoom), Int::plus)
        only = room.entries.maxByOrNull { it.value }?.key ?: -1
    }

    fun roomIn(zone: Int): Int =
        when {
            job.spec.together && zone != only -> 0
            else -> spreadRoom(zone)
        }

    private fun spreadRoom(zone: Int): Int =
        if (job.spec.spread) maxOf(0, most - unknown - (perZone[zone] ?: 0)) else Int.MAX_VALUE

    /** A task in [zone] will be gone. */
    fun leave(zone: Int) {
        if (zone < 0) unknown--
        if ((perZone[zone] ?: 0) > 1) perZone.merge(zone, -1, Int::plus) else perZone.remove(zone)
        if (job.spec.together) only = perZone.keys.firstOrNull() ?: -1
    }

    fun take(zone: Int, n: Int) {
        perZone.merge(zone, n, Int::plus)
        if (job.spec.together && only < 0) only = zone
    }
}
