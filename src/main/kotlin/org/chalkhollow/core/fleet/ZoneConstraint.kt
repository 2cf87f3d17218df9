package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.placement.MachineSelector
import org.chalkhollow.core.placement.PlacementRound
import org.chalkhollow.core.placement.ReplicaMigration

/**
 * The zone constraint of one job, `together` or `spread`, counted against every attempt that may be on a machine,
 * wherever it may be: an attempt that cannot be disproved counts as there. Made by [PlacementRound], [MachineSelector]
 * and [ReplicaMigration] for each pass over a job.
 */
class ZoneConstraint(private val job: OpenJob, fleet: Fleet) {
    private val tasksByZone = HashMap<Int, Int>()

    /** Tasks that may be in zones that are not known. */
    private var tasksInUnknownZones = 0

    /** The zone to which `together` binds the job; [NO_ZONE] as long as any may be chosen. */
    private var chosenZone = NO_ZONE
    private val maxPerZone = (job.spec.tasks + 1) / 2

    init {
        if (job.spec.together || job.spec.spread) {
            for (machine in fleet.machines) countTasksOn(machine)
            if (job.spec.together && tasksByZone.isNotEmpty()) chosenZone = tasksByZone.keys.first()
        }
    }

    private fun countTasksOn(machine: Machine) {
        val tasks = machine.attempts.count { it.job === job && it.phase != Attempt.Phase.EXITED }
        if (tasks == 0) return
        if (machine.zone < 0) tasksInUnknownZones += tasks else tasksByZone.merge(machine.zone, tasks, Int::plus)
    }

    /**
     * Whether a machine in [zone] could take a task of the job as things stand; any zone may yet be chosen for one that
     * has none.
     */
    fun admits(zone: Int): Boolean = (chosenZone == NO_ZONE || zone == chosenZone) && spreadRoom(zone) > 0

    /** A task may be in a zone that is not known: `together` has to wait. */
    val blocked: Boolean get() = job.spec.together && (tasksInUnknownZones > 0 || tasksByZone.size > 1)

    /** Binds a job that has no zone yet to the one whose [machines] have most room for it. */
    fun chooseZone(machines: List<Machine>) {
        if (chosenZone != NO_ZONE) return
        val roomByZone = HashMap<Int, Int>()
        for (machine in machines) {
            roomByZone.merge(machine.zone, job.taskResources.countIn(machine.roundFreeCapacity), Int::plus)
        }
        chosenZone = roomByZone.entries.maxByOrNull { it.value }?.key ?: NO_ZONE
    }

    /** How many more tasks may go to [zone]. */
    fun roomIn(zone: Int): Int = if (job.spec.together && zone != chosenZone) 0 else spreadRoom(zone)

    private fun spreadRoom(zone: Int): Int {
        if (!job.spec.spread) return Int.MAX_VALUE
        return maxOf(0, maxPerZone - tasksInUnknownZones - (tasksByZone[zone] ?: 0))
    }

    /** A task in [zone] will be gone. */
    fun removeTask(zone: Int) {
        if (zone < 0) tasksInUnknownZones--
        if ((tasksByZone[zone] ?: 0) > 1) tasksByZone.merge(zone, -1, Int::plus) else tasksByZone.remove(zone)
        if (job.spec.together) chosenZone = tasksByZone.keys.firstOrNull() ?: NO_ZONE
    }

    /** So many [tasks] are placed in [zone]. */
    fun addTasks(zone: Int, tasks: Int) {
        tasksByZone.merge(zone, tasks, Int::plus)
        if (job.spec.together && chosenZone == NO_ZONE) chosenZone = zone
    }

    private companion object {
        const val NO_ZONE = -1
    }
}
