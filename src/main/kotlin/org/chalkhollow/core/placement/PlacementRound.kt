package org.chalkhollow.core.placement

import org.chalkhollow.core.attempts.Allocation
import org.chalkhollow.core.cluster.FairShareCredit
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.fleet.UnplacedTasks
import org.chalkhollow.core.fleet.ZoneConstraint
import org.chalkhollow.core.jobs.Quotas
import org.chalkhollow.model.Resources

/** Replicas of one service that their team's limit keeps from running. */
class ReplicasAtLimit(val job: OpenJob, val count: Int)

/**
 * What one round has given away so far: which tasks go to which of [machines], and what is left over. Teams' limits,
 * the room kept for urgent work and for services, and what jobs are owed hold over all that the round gives. Made and
 * called by [Placement], job by job in their order.
 */
class PlacementRound(
    private val context: CoreContext,
    private val quotas: Quotas,
    private val fleet: Fleet,
    private val order: JobOrder,
    private val starvation: StarvationPrevention,
    private val choice: MachineSelector,
    private val replicas: Replicas,
    private val room: Room,
) {
    /**
     * The machines with room for any task that waits, CPUs that are to stay free for urgent work, and what finds room
     * for replicas that have to move.
     */
    class Room(val machines: List<Machine>, val reserve: Double, val planMoves: () -> ReplicaMigration.Plan)

    val out = ArrayList<Allocation>()
    val left = ArrayList<UnplacedTasks>()

    /** Replicas that their team's limit keeps from running. */
    val limited = ArrayList<ReplicasAtLimit>()

    /** Machines on which replicas were told to stop, since room for them was found elsewhere. */
    val stoppedOn = ArrayList<Machine>()
    private val machines get() = room.machines
    private var free = machines.sumOf { it.left.cpus }
    private val capacity = order.capacity

    /** CPU seconds of waiting work, this job's and what goes before it. */
    private var backlog = 0.0
    private val givenCpus = HashMap<Int, Double>() // by team
    private val givenGpus = HashMap<Int, Double>()
    private val taken = HashMap<OpenJob, Int>()

    /** Whether room for services has been taken off what is left for other work. */
    private var kept = false
    private var exceptions = MAX_EXCEPTIONS

    /** Services of which a replica starts on the room held for it; the rest of them waits for the next round. */
    private val moved = HashSet<OpenJob>()
    private var movesPlanned = false

    /** Takes in [restarts] of replicas that move, which have their places already. */
    fun take(restarts: List<Allocation>) {
        for (allocation in restarts) {
            out.add(allocation)
            moved.add(allocation.job)
            note(allocation.job, allocation.tasks.size)
        }
    }

    /** Plans moves of replicas, once in a round: after the starts of services and before any other work. */
    fun moveReplicas() {
        if (movesPlanned) return
        movesPlanned = true
        val plan = room.planMoves()
        stoppedOn.addAll(plan.stoppedOn)
        left.addAll(plan.lacking)
    }

    /** Gives the job what it may have; with [heldOnly] only on machines that hold its image. */
    fun serve(job: OpenJob, heldOnly: Boolean) {
        if (job !in moved) give(job, heldOnly)
    }

    private fun give(job: OpenJob, heldOnly: Boolean) {
        keepRoomFrom(job)
        val ready = job.tasks.readyCount - (taken[job] ?: 0)
        val wanted = minOf(ready, headroom(job))
        if (job.service && wanted < ready) limited.add(ReplicasAtLimit(job, ready - wanted))
        // Rules on zones are counted over what one call places, so such jobs are placed in one.
        val want = if (heldOnly && (job.gang || job.boundToZones)) 0 else wanted(job, wanted, ready)
        val placed = if (want > 0) placeAlsoWhereKept(job, want, heldOnly) else 0
        if (placed > 0) note(job, placed)
        if (placed == ready) job.credit.allPlaced(context.now.wall)
        if (heldOnly || placed >= wanted) return
        if (want > 0) backlog += (wanted - placed) * job.taskResources.cpus * job.spec.expectedS
        leaveOver(job, wanted - placed, want > 0 && order.pressing(job, backlog / maxOf(1.0, capacity)))
    }

    /** Before the first job that is neither a service nor owed anything, room is kept for services. */
    private fun keepRoomFrom(job: OpenJob) {
        if (kept || job.service || starvation.goesFirst(job)) return
        kept = true
        moveReplicas()
        free -= replicas.keepRoom(machines)
    }

    /** How many of the [most] tasks that the team's limit allows this round should give the job. */
    private fun wanted(job: OpenJob, most: Int, ready: Int): Int {
        var want = most
        // A probe, not the whole array.
        if (job.backoff.failures > 0 && job.backoff.failsOnSeveralMachines(context.steady)) want = minOf(want, 1)
        if (starvation.goesFirst(job) && !job.gang) {
            want = minOf(want, starvation.most(job))
        } else if (order.yields(job)) {
            want = minOf(want, ((free - room.reserve) / job.countedCpus).toInt())
        }
        if (job.gang && (!job.tasks.noneLive || want < ready)) want = 0 // all at once or not at all
        return want
    }

    private fun placeAlsoWhereKept(job: OpenJob, want: Int, heldOnly: Boolean): Int {
        val placed = place(job, want, 0, heldOnly)
        if (heldOnly || placed >= want || !mayUseKeptRoom(job, placed)) return placed
        replicas.giveBack()
        val more = place(job, want - placed, placed, false)
        replicas.keepRoom(machines)
        return placed + more
    }

    private fun place(job: OpenJob, want: Int, placed: Int, heldOnly: Boolean): Int =
        if (job.gang) {
            choice.placeGang(job, want, machines, out)
        } else {
            choice.place(job, want, machines, out, (taken[job] ?: 0) + placed, heldOnly)
        }

    /** Room for services is no longer kept from what waits long, see [FairShareCredit.waitsLong]. */
    private fun mayUseKeptRoom(job: OpenJob, placed: Int): Boolean {
        if (!kept || job.service) return false
        if (placed > 0 && job.boundToZones) return false
        return job.credit.waitsLong(context.now.wall) && exceptions-- > 0
    }

    private fun headroom(job: OpenJob): Int {
        val given = Resources(givenCpus[job.team] ?: 0.0, givenGpus[job.team] ?: 0.0, 0.0)
        return quotas.headroom(job.team, job.taskResources, given)
    }

    private fun leaveOver(job: OpenJob, count: Int, pressing: Boolean) {
        val zones = if (job.boundToZones) zonesAfter(job) else null
        left.add(UnplacedTasks(job, count, pressing, zones))
    }

    /** The rule on zones as it stands with what this round has given the job. */
    private fun zonesAfter(job: OpenJob): ZoneConstraint {
        val zones = ZoneConstraint(job, fleet)
        for (a in out) if (a.job === job) zones.take(a.machine.zone, a.tasks.size)
        return zones
    }

    private fun note(job: OpenJob, placed: Int) {
        free -= placed * job.taskResources.cpus
        taken.merge(job, placed, Int::plus)
        starvation.placed(job, placed)
        givenCpus.merge(job.team, placed * job.taskResources.cpus, Double::plus)
        givenGpus.merge(job.team, placed * job.taskResources.gpus, Double::plus)
    }

    private companion object {
        /**
         * Of the jobs that wait long only the first few are offered the room kept for services: each offer costs a
         * pass.
         */
        const val MAX_EXCEPTIONS = 5
    }
}
