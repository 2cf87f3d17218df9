package org.chalkhollow.core.placement

import org.chalkhollow.core.attempts.Allocation
import org.chalkhollow.core.attempts.AttemptReconciler
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.fleet.UnplacedTasks
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.core.jobs.Quotas
import org.chalkhollow.core.jobs.ServiceLevelObjectives
import org.chalkhollow.model.Resources
import org.chalkhollow.settings.OperatorSettings

/**
 * Owns which ready tasks go where, round by round: [JobOrder] says which job is served first, [PlacementRound] how much
 * it is given, [MachineSelector] on which machines, and [Preemption] what is preempted for those that found no room. A
 * round gives only what teams' quotas and zone constraints allow, counting every attempt that cannot be disproved.
 * Called by the controller, which persists the dispatch markers of what a round gives before it starts any of it.
 */
class Placement(
    private val context: CoreContext,
    private val jobs: JobTable,
    private val quotas: Quotas,
    reconciler: AttemptReconciler,
    private val fleet: Fleet,
    options: OperatorSettings,
    private val objectives: ServiceLevelObjectives,
) {
    private val replicas = Replicas(jobs)
    private val starvation = StarvationPrevention(context, jobs, reconciler, options)
    private val scarceTypes = ScarceMachineTypes(context, jobs, fleet, objectives)
    private val urgentHeadroom = UrgentHeadroom(jobs, objectives, options)
    private val order = JobOrder(context, jobs, quotas, fleet, objectives, starvation)
    private val selector = MachineSelector(context, fleet, options, objectives, starvation, scarceTypes, replicas)
    private val migration = ReplicaMigration(context, fleet, quotas, replicas, selector::allowed)
    private val preemption = Preemption(context, quotas, fleet, objectives, order, selector)

    /** What the last round found no room for, most urgent first. */
    var unplaced: List<UnplacedTasks> = emptyList()
        private set

    /** Machines on which the last round decided to stop tasks. */
    val preempted: Set<Machine> get() = preemption.preempted

    /** CPUs that work which can wait leaves free for urgent work to come. */
    fun urgentHeadroomCpus(): Double = urgentHeadroom.cpus()

    /** Whether [job] may use [machine] now; room aside. */
    fun mayUse(job: OpenJob, machine: Machine): Boolean = selector.allowed(job, machine)

    fun round(): List<Allocation> {
        preemption.begin()
        unplaced = emptyList()
        if (jobs.open.none { it.placeable } && !migration.pending()) return emptyList()
        scarceTypes.update()
        order.begin()
        urgentHeadroom.recordSizes()
        starvation.begin(order.capacity)
        val waiting = order.waiting()
        val placeable = fleet.placeable()
        val round = newRound(waiting, placeable)
        serve(waiting, round)
        round.migrateReplicas()
        preemption.preempted.addAll(round.stoppedOn)
        unplaced = round.unplaced
        preemption.preemptFor(round.unplaced, placeable)
        for (service in round.overQuota) preemption.preemptWithinQuota(service.job, service.count)
        return round.allocations
    }

    /** A round with the restarts of replicas that migrate, which come before all else. */
    private fun newRound(waiting: List<OpenJob>, placeable: List<Machine>): PlacementRound {
        val machines = withRoom(placeable, waiting)
        val room = PlacementRound.Room(machines, urgentHeadroom.cpus()) { migration.plan(placeable) }
        val restarts = migration.start(placeable)
        val round = PlacementRound(context, quotas, fleet, order, starvation, selector, replicas, room)
        round.addRestarts(restarts)
        return round
    }

    /** Serves the jobs in their order, those that are equal in it together. */
    private fun serve(waiting: List<OpenJob>, round: PlacementRound) {
        var start = 0
        while (start < waiting.size) {
            val first = waiting[start]
            var end = start + 1
            while (end < waiting.size && order.areEqual(first, waiting[end])) end++
            val equal = waiting.subList(start, end)
            // Among equal jobs, a machine goes first to one whose image it holds: fetching costs machine time.
            if (equal.size > 1 && !objectives.awaitsPromptStart(first)) {
                for (job in equal) round.serve(job, heldOnly = true)
            }
            for (job in equal) round.serve(job, heldOnly = false)
            start = end
        }
    }

    /**
     * The machines that could take the smallest task that waits; in a full fleet they are few, and a round is short.
     */
    private fun withRoom(placeable: List<Machine>, waiting: List<OpenJob>): List<Machine> {
        val cpus = waiting.minOfOrNull { it.taskResources.cpus } ?: 0.0
        val memory = waiting.minOfOrNull { it.taskResources.memoryGb } ?: 0.0
        val smallest = Resources(cpus, 0.0, memory)
        return placeable.filter { machine ->
            machine.roundFreeCapacity = machine.freeCapacity(fleet.types)
            smallest.fitsIn(machine.roundFreeCapacity)
        }
    }
}
