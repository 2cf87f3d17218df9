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
    private val replicaPlacement = ReplicaPlacement(jobs)
    private val starvation = StarvationPrevention(context, jobs, reconciler, options)
    private val scarceTypes = ScarceMachineTypes(context, jobs, fleet, objectives)
    private val urgentHeadroom = UrgentHeadroom(jobs, objectives, options)
    private val order = JobOrder(context, jobs, quotas, fleet, objectives, starvation)
    private val selector = MachineSelector(context, fleet, options, objectives, starvation, scarceTypes, replicas)
    private val migration = ReplicaMigration(context, fleet, quotas, replicaPlacement, selector::isAllowed)
    private val preemption = Preemption(context, quotas, fleet, objectives, order, selector)

    /** What the last round found no room for, most urgent first. */
    var unplaced: List<UnplacedTasks> = emptyList()
        private set

    /** Machines on which the last round decided to stop tasks. */
    val preempted: Set<Machine> get() = preemption.preempted

    /** CPUs that work which can wait leaves free for urgent work to come. */
    fun urgentHeadroomCpus(): Double = urgentHeadroom.cpus()

    /** Whether [job] may use [machine] now; room aside. */
    fun mayUse(job: OpenJob, machine: Machine): Boolean = selector.isAllowed(job, machine)

    fun round(): List<Allocation> {
        preemption.begin()
        unplaced = emptyList()
        if (jobs.open.none { it.placeable } && !migration.hasWork()) return emptyList()
        scarceTypes.update()
        order.begin()
        urgentHeadroom.recordJobSizes()
        starvation.begin(order.fleetCpus)
        val pendingJobs = order.pendingJobs()
        val placeable = fleet.placeable()
        val round = newRound(pendingJobs, placeable)
        serve(pendingJobs, round)
        round.migrateReplicas()
        preemption.preempted.addAll(round.stoppedOn)
        unplaced = round.unplaced
        preemption.preemptFor(round.unplaced, placeable)
        for (service in round.overQuota) preemption.preemptWithinQuota(service.job, service.count)
        return round.allocations
    }

    /** A round with the restarts of replicas that migrate, which come before all else. */
    private fun newRound(pendingJobs: List<OpenJob>, placeable: List<Machine>): PlacementRound {
        val machines = withFreeCapacity(placeable, pendingJobs)
        val freeCapacity = PlacementRound.FreeCapacity(machines, urgentHeadroom.cpus()) { migration.plan(placeable) }
        val restarts = migration.allocateRestarts(placeable)
        val round = PlacementRound(context, quotas, fleet, order, starvation, selector, replicaPlacement, freeCapacity)
        round.addRestarts(restarts)
        return round
    }

    /** Serves the jobs in their order, those that are equal in it together. */
    private fun serve(pendingJobs: List<OpenJob>, round: PlacementRound) {
        var start = 0
        while (start < pendingJobs.size) {
            val first = pendingJobs[start]
            var end = start + 1
            while (end < pendingJobs.size && order.haveSameRank(first, pendingJobs[end])) end++
            val sameRank = pendingJobs.subList(start, end)
            // Among equal jobs, a machine goes first to one whose image it holds: fetching costs machine time.
            if (sameRank.size > 1 && !objectives.awaitsPromptStart(first)) {
                for (job in sameRank) round.serve(job, cachedImageOnly = true)
            }
            for (job in sameRank) round.serve(job, cachedImageOnly = false)
            start = end
        }
    }

    /**
     * The machines that could take the smallest task that waits; in a full fleet they are few, and a round is short.
     */
    private fun withFreeCapacity(placeable: List<Machine>, pendingJobs: List<OpenJob>): List<Machine> {
        val cpus = pendingJobs.minOfOrNull { it.taskResources.cpus } ?: 0.0
        val memory = pendingJobs.minOfOrNull { it.taskResources.memoryGb } ?: 0.0
        val smallest = Resources(cpus, 0.0, memory)
        return placeable.filter { machine ->
            machine.roundRoom = machine.room(fleet.types)
            smallest.fitsIn(machine.roundRoom)
        }
    }
}
