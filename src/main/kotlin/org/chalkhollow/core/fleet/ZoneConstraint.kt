package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.placement.MachineSelector
import org.chalkhollow.core.placement.PlacementRound
import org.chalkhollow.core.placement.ReplicaMigration

/**
 * The zone constraint of one job, `together` or `spread`. It counts every attempt that may be on a machine, until it
 * has exited or is confirmed absent. Made by [PlacementRound], [MachineSelector] and [ReplicaMigration] for each pass
 * over a job.
 */
class ZoneConstraint(private val job: OpenJob, fleet: Fleet) {
    private val tasksByZone = HashMap<Int, Int>()

    /** Tasks on machines whose zone is not known. */
    private var tasksInUnknownZones = 0

    /** The zone to which `together` binds the job; [NO_ZONE] while any zone may be chosen. */
    private var chosenZone = NO_ZONE
    private val spreadMaxPerZone = (job.spec.tasks + 1) / 2

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

    /** Whether a machine in [zone] may take a task of the job now; a `together` job without a zone admits any. */
    fun admits(zone: Int): Boolean = (chosenZone == NO_ZONE || zone == chosenZone) && maxNewTasksBySpread(zone) > 0

    /** Whether `together` has to wait, because a task may be in an unknown zone or tasks are in several zones. */
    val isBlocked: Boolean get() = job.spec.together && (tasksInUnknownZones > 0 || tasksByZone.size > 1)

    /** Binds a job without a zone to the zone whose [machines] can take the most of its tasks. */
    fun chooseZone(machines: List<Machine>) {
        if (chosenZone != NO_ZONE) return
        val fitCountByZone = HashMap<Int, Int>()
        for (machine in machines) {
            fitCountByZone.merge(machine.zone, job.taskResources.countIn(machine.roundFreeCapacity), Int::plus)
        }
        chosenZone = fitCountByZone.entries.maxByOrNull { it.value }?.key ?: NO_ZONE
    }

    /** How many more tasks may go to [zone]. */
    fun maxNewTasksIn(zone: Int): Int = if (job.spec.together && zone != chosenZone) 0 else maxNewTasksBySpread(zone)

    private fun maxNewTasksBySpread(zone: Int): Int {
        if (!job.spec.spread) return Int.MAX_VALUE
        return maxOf(0, spreadMaxPerZone - tasksInUnknownZones - (tasksByZone[zone] ?: 0))
    }

    /** Stops counting a task in [zone]. */
    fun removeTask(zone: Int) {
        if (zone < 0) tasksInUnknownZones--
        if ((tasksByZone[zone] ?: 0) > 1) tasksByZone.merge(zone, -1, Int::plus) else tasksByZone.remove(zone)
        if (job.spec.together) chosenZone = tasksByZone.keys.firstOrNull() ?: NO_ZONE
    }

    /** Counts [tasks] more tasks in [zone]. */
    fun addTasks(zone: Int, tasks: Int) {
        tasksByZone.merge(zone, tasks, Int::plus)
        if (job.spec.together && chosenZone == NO_ZONE) chosenZone = zone
    }

    private companion object {
        const val NO_ZONE = -1
    }
}
