package org.chalkhollow.core.placement

import org.chalkhollow.core.attempts.Allocation
import org.chalkhollow.core.attempts.AttemptReconciler
import org.chalkhollow.core.attempts.DispatchEvents
import org.chalkhollow.core.cluster.HoldReason
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
 * Decides in rounds which ready tasks run on which machines. [JobOrder] sorts the jobs, [PlacementRound] decides how
 * many tasks of each are placed, [MachineSelector] selects the machines, and [Preemption] stops tasks to make way for
 * others that could not be placed. A round allocates only what the teams' quotas and zone constraints allow, counting
 * every attempt that is not confirmed absent. Called by the controller, which persists the dispatch markers of a
 * round's allocations before it starts any of them.
 */
class Placement(
    private val context: CoreContext,
    private val jobs: JobTable,
    private val quotas: Quotas,
    reconciler: AttemptReconciler,
    private val fleet: Fleet,
    options: OperatorSettings,
    private val objectives: ServiceLevelObjectives,
) : DispatchEvents {
    private val replicaPlacement = ReplicaPlacement(jobs)
    private val starvation = StarvationPrevention(context, jobs, reconciler, options)
    private val scarceTypes = ScarceMachineTypes(context, jobs, fleet, objectives)
    private val urgentHeadroom = UrgentHeadroom(jobs, objectives, options)
    private val order = JobOrder(context, jobs, quotas, fleet, objectives, starvation)
    private val selector =
        MachineSelector(context, fleet, options, objectives, starvation, scarceTypes, replicaPlacement)
    private val migration = ReplicaMigration(context, fleet, quotas, replicaPlacement, selector::isAllowed)
    private val preemption = Preemption(context, quotas, fleet, objectives, order, selector)

    /** Tasks that the last round could not place, most urgent first. */
    var unplaced: List<UnplacedTasks> = emptyList()
        private set

    /** Machines on which the last round requested stops. */
    val preempted: Set<Machine> get() = preemption.preempted

    /** CPUs that jobs which can wait leave free for urgent jobs to come. */
    fun urgentHeadroomCpus(): Double = urgentHeadroom.cpus()

    /** Whether [job] may use [machine] now, whatever its free capacity. */
    fun mayUse(job: OpenJob, machine: Machine): Boolean = selector.isAllowed(job, machine)

    /** Whether a machine that [job] may use has capacity for one of its tasks, whatever else it is kept for. */
    fun hasMachineFor(job: OpenJob): Boolean =
        fleet.placeable().any { machine ->
            fleet.allows(job, machine.type, machine.zone, machine.spot) &&
                job.taskResources.fitsIn(machine.freeCapacity(fleet.types))
        }

    /** When the last round ran, in monotonic time. */
    var lastRoundAtMs = context.steady
        private set

    fun round(): List<Allocation> {
        lastRoundAtMs = context.steady
        preemption.begin()
        unplaced = emptyList()
        if (jobs.open.none { it.placeable } && !migration.hasWork()) return emptyList()
        scarceTypes.update()
        order.begin()
        urgentHeadroom.recordJobSizes()
        starvation.begin(order.fleetCpus)
        val pendingJobs = order.pendingJobs()
        holdJobsInBackoff()
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

    private fun holdJobsInBackoff() {
        for (job in jobs.open) {
            val inBackoff = job.placeable && job.backoff.notBeforeMs > context.steady
            if (inBackoff) job.hold.hold(HoldReason.FAILURE_BACKOFF, context.steady)
        }
    }

    override fun onHeld(allocation: Allocation, reason: HoldReason) = allocation.job.hold.hold(reason, context.steady)

    override fun onDispatching(allocations: List<Allocation>) {
        for (allocation in allocations) allocation.job.hold.onDispatching(allocation.tasks.size, context.steady)
    }

    override fun onDispatched(allocations: List<Allocation>) {
        for (allocation in allocations) {
            val job = allocation.job
            job.hold.onDispatched(allocation.tasks.size, job.tasks.noneReady, context.steady)
            starvation.onDispatched(allocation)
        }
    }

    override fun onRejected(allocations: List<Allocation>) {
        for (allocation in allocations) allocation.job.hold.onRejected(allocation.tasks.size, context.steady)
    }

    /** Starts a round with the restarts of migrating replicas, which come before all other tasks. */
    private fun newRound(pendingJobs: List<OpenJob>, placeable: List<Machine>): PlacementRound {
        val machines = withFreeCapacity(placeable, pendingJobs)
        val freeCapacity = PlacementRound.FreeCapacity(machines, urgentHeadroom.cpus()) { migration.plan(placeable) }
        val restarts = migration.allocateRestarts(placeable)
        val round = PlacementRound(context, quotas, fleet, order, starvation, selector, replicaPlacement, freeCapacity)
        round.addRestarts(restarts)
        return round
    }

    /** Serves the jobs in their order; jobs of the same rank are served together. */
    private fun serve(pendingJobs: List<OpenJob>, round: PlacementRound) {
        var start = 0
        while (start < pendingJobs.size) {
            val first = pendingJobs[start]
            var end = start + 1
            while (end < pendingJobs.size && order.haveSameRank(first, pendingJobs[end])) end++
            val sameRank = pendingJobs.subList(start, end)
            // Among jobs of the same rank, a machine first takes tasks whose image it has: a fetch costs machine time.
            if (sameRank.size > 1 && !objectives.awaitsPromptStart(first)) {
                for (job in sameRank) round.serve(job, cachedImageOnly = true)
            }
            for (job in sameRank) round.serve(job, cachedImageOnly = false)
            start = end
        }
    }

    /** The machines that fit the smallest pending task. In a full fleet they are few, which keeps a round short. */
    private fun withFreeCapacity(placeable: List<Machine>, pendingJobs: List<OpenJob>): List<Machine> {
        val cpus = pendingJobs.minOfOrNull { it.taskResources.cpus } ?: 0.0
        val memory = pendingJobs.minOfOrNull { it.taskResources.memoryGb } ?: 0.0
        val smallest = Resources(cpus, 0.0, memory)
        return placeable.filter { machine ->
            machine.roundFreeCapacity = machine.freeCapacity(fleet.types)
            smallest.fitsIn(machine.roundFreeCapacity)
        }
    }
}
