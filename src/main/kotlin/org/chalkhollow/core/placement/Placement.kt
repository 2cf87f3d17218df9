package org.chalkhollow.core.placement

import org.chalkhollow.core.Controller
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
 * it is given, [MachineSelector] on which machines, and [Preemption] what gives way to those that found no room. A
 * round gives only what teams' limits and the rules on zones allow, counting every attempt that cannot be disproved.
 * Called by [Controller], which marks what a round gives before it starts any of it.
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
    private val scarce = ScarceMachineTypes(context, jobs, fleet, objectives)
    private val reserve = UrgentHeadroom(jobs, objectives, options)
    private val order = JobOrder(context, jobs, quotas, fleet, objectives, starvation)
    private val choice = MachineSelector(context, fleet, options, objectives, starvation, scarce, replicas)
    private val moves = ReplicaMigration(context, fleet, quotas, replicas, choice::allowed)
    private val preemption = Preemption(context, quotas, fleet, objectives, order, choice)

    /** What the last round found no room for, most urgent first. */
    var unplaced: List<UnplacedTasks> = emptyList()
        private set

    /** Machines on which the last round decided to stop tasks. */
    val preempted: Set<Machine> get() = preemption.preempted

    /** CPUs that work which can wait leaves free for urgent work to come. */
    fun reserve(): Double = reserve.cpus()

    /** Whether [job] may use [m] now; room aside. */
    fun mayUse(job: OpenJob, m: Machine): Boolean = choice.allowed(job, m)

    fun round(): List<Allocation> {
        preemption.begin()
        unplaced = emptyList()
        if (jobs.open.none { it.placeable } && !moves.pending()) return emptyList()
        scarce.note()
        order.begin()
        reserve.noteSizes()
        starvation.begin(order.capacity)
        val waiting = order.waiting()
        val placeable = fleet.placeable()
        val room = PlacementRound.Room(withRoom(placeable, waiting), reserve.cpus()) { moves.plan(placeable) }
        val restarts = moves.start(placeable)
        val round =
            PlacementRound(context, quotas, fleet, order, starvation, choice, replicas, room)
        round.take(restarts)
        serve(waiting, round)
        round.moveReplicas()
        preemption.preempted.addAll(round.stoppedOn)
        unplaced = round.left
        preemption.makeRoom(round.left, placeable)
        for (at in round.limited) preemption.makeRoomWithinLimit(at.job, at.count)
        return round.out
    }

    private fun serve(waiting: List<OpenJob>, round: PlacementRound) {
        var i = 0
        while (i < waiting.size) {
            val first = waiting[i]
            var end = i + 1
            while (end < waiting.size && order.alike(first, waiting[end])) end++
            // Among jobs of one standing, a machine goes first to one whose image it holds: fetching costs machine
            // time.
            if (end - i > 1 && !objectives.awaitsPromptStart(first)) {
                for (k in i until end) round.serve(waiting[k], heldOnly = true)
            }
            for (k in i until end) round.serve(waiting[k], heldOnly = false)
            i = end
        }
    }

    /**
     * The machines that could take the smallest task that waits; in a full fleet they are few, and a round is short.
     */
    private fun withRoom(placeable: List<Machine>, waiting: List<OpenJob>): List<Machine> {
        val cpus = waiting.minOfOrNull { it.taskResources.cpus } ?: 0.0
        val memory = waiting.minOfOrNull { it.taskResources.memoryGb } ?: 0.0
        val least = Resources(cpus, 0.0, memory)
        return placeable.filter { m ->
            m.left = m.room(fleet.types)
            least.fitsIn(m.left)
        }
    }
}
