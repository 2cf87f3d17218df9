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

/** Replicas of one service that their team's quota keeps from running. */
class ReplicasOverQuota(val job: OpenJob, val count: Int)

/**
 * Owns what one round has given away so far: which tasks go to which machines, and what is left over. Teams' quotas,
 * the headroom for urgent work and for services, and the credit of jobs hold over all that the round gives. Made and
 * called by [Placement], job by job in their order.
 */
class PlacementRound(
    private val context: CoreContext,
    private val quotas: Quotas,
    private val fleet: Fleet,
    private val order: JobOrder,
    private val starvation: StarvationPrevention,
    private val selector: MachineSelector,
    private val replicas: Replicas,
    private val room: Room,
) {
    /**
     * The machines with room for any task that waits, CPUs that are to stay free for urgent work, and what finds room
     * for replicas that have to migrate.
     */
    class Room(
        val machines: List<Machine>,
        val urgentHeadroomCpus: Double,
        val planMigrations: () -> ReplicaMigration.Plan,
    )

    val allocations = ArrayList<Allocation>()
    val unplaced = ArrayList<UnplacedTasks>()
    val overQuota = ArrayList<ReplicasOverQuota>()

    /** Machines on which replicas were commanded to stop, since room for them was found elsewhere. */
    val stoppedOn = ArrayList<Machine>()
    private val machines get() = room.machines
    private var freeCpus = machines.sumOf { it.roundFreeCapacity.cpus }
    private val capacity = order.capacity

    /** CPU seconds of waiting work, this job's and what goes before it. */
    private var backlog = 0.0
    private val givenCpusByTeam = HashMap<Int, Double>()
    private val givenGpusByTeam = HashMap<Int, Double>()
    private val givenTasks = HashMap<OpenJob, Int>()

    /** Whether headroom for services has been taken off what is left for other work. */
    private var headroomReserved = false
    private var headroomOffersLeft = MAX_HEADROOM_OFFERS

    /** Services of which a replica starts on the room held for it; the rest of them waits for the next round. */
    private val migrated = HashSet<OpenJob>()
    private var migrationsPlanned = false

    /** Takes in [restarts] of replicas that migrate, which have their places already. */
    fun addRestarts(restarts: List<Allocation>) {
        for (allocation in restarts) {
            allocations.add(allocation)
            migrated.add(allocation.job)
            recordPlaced(allocation.job, allocation.tasks.size)
        }
    }

    /** Plans migrations of replicas, once in a round: after the starts of services and before any other work. */
    fun migrateReplicas() {
        if (migrationsPlanned) return
        migrationsPlanned = true
        val plan = room.planMigrations()
        stoppedOn.addAll(plan.stoppedOn)
        unplaced.addAll(plan.unplaced)
    }

    /** Gives the job what it may have; with [heldOnly] only on machines that hold its image. */
    fun serve(job: OpenJob, heldOnly: Boolean) {
        if (job in migrated) return
        reserveHeadroomBefore(job)
        val ready = job.tasks.readyCount - (givenTasks[job] ?: 0)
        val withinQuota = minOf(ready, quotaLeft(job))
        if (job.service && withinQuota < ready) overQuota.add(ReplicasOverQuota(job, ready - withinQuota))
        // Zone constraints are counted over what one call places, so such jobs are placed in one.
        val inOnePass = job.gang || job.hasZoneConstraint
        val wanted = if (heldOnly && inOnePass) 0 else wantedTasks(job, withinQuota, ready)
        val placed = if (wanted > 0) placeWithHeadroom(job, wanted, heldOnly) else 0
        if (placed > 0) recordPlaced(job, placed)
        if (placed == ready) job.credit.allPlaced(context.now.wall)
        if (!heldOnly && placed < withinQuota) recordUnplaced(job, withinQuota - placed, mayPress = wanted > 0)
    }

    /** Before the first job that is neither a service nor has credit, headroom for services is reserved. */
    private fun reserveHeadroomBefore(job: OpenJob) {
        if (headroomReserved || job.service || starvation.goesFirst(job)) return
        headroomReserved = true
        migrateReplicas()
        freeCpus -= replicas.reserveHeadroom(machines)
    }

    /** How many of the [most] tasks that the team's quota allows this round should give the job. */
    private fun wantedTasks(job: OpenJob, most: Int, ready: Int): Int {
        var wanted = most
        // A probe, not the whole array.
        if (job.backoff.failures > 0 && job.backoff.failsOnSeveralMachines(context.steady)) wanted = minOf(wanted, 1)
        if (starvation.goesFirst(job) && !job.gang) {
            wanted = minOf(wanted, starvation.tasksFromCredit(job))
        } else if (order.leavesHeadroom(job)) {
            wanted = minOf(wanted, ((freeCpus - room.urgentHeadroomCpus) / job.countedCpus).toInt())
        }
        if (job.gang && (!job.tasks.noneLive || wanted < ready)) wanted = 0 // all at once or not at all
        return wanted
    }

    /** Places tasks, also on the headroom for services if the job may use that. */
    private fun placeWithHeadroom(job: OpenJob, wanted: Int, heldOnly: Boolean): Int {
        val placed = place(job, wanted, 0, heldOnly)
        if (heldOnly || placed >= wanted || !takeHeadroomOffer(job, placed)) return placed
        replicas.releaseHeadroom()
        val more = place(job, wanted - placed, placed, false)
        replicas.reserveHeadroom(machines)
        return placed + more
    }

    private fun place(job: OpenJob, wanted: Int, placed: Int, heldOnly: Boolean): Int {
        if (job.gang) return selector.placeGang(job, wanted, machines, allocations)
        val skip = (givenTasks[job] ?: 0) + placed
        return selector.place(job, wanted, machines, allocations, skip, heldOnly)
    }

    /** Headroom for services is no longer reserved from what waits long, see [FairShareCredit.hasWaitedLong]. */
    private fun takeHeadroomOffer(job: OpenJob, placed: Int): Boolean {
        if (!headroomReserved || job.service) return false
        if (placed > 0 && job.hasZoneConstraint) return false
        return job.credit.hasWaitedLong(context.now.wall) && headroomOffersLeft-- > 0
    }

    private fun quotaLeft(job: OpenJob): Int {
        val cpus = givenCpusByTeam[job.team] ?: 0.0
        val gpus = givenGpusByTeam[job.team] ?: 0.0
        return quotas.headroom(job.team, job.taskResources, Resources(cpus, gpus, 0.0))
    }

    /** Records [count] tasks that found no room; they are pressing only if [mayPress]. */
    private fun recordUnplaced(job: OpenJob, count: Int, mayPress: Boolean) {
        if (mayPress) backlog += count * job.taskResources.cpus * job.spec.expectedS
        val pressing = mayPress && order.isPressing(job, backlog / maxOf(1.0, capacity))
        val zones = if (job.hasZoneConstraint) zonesAfter(job) else null
        unplaced.add(UnplacedTasks(job, count, pressing, zones))
    }

    /** The zone constraint as it stands with what this round has given the job. */
    private fun zonesAfter(job: OpenJob): ZoneConstraint {
        val zones = ZoneConstraint(job, fleet)
        for (allocation in allocations) {
            if (allocation.job === job) zones.addTasks(allocation.machine.zone, allocation.tasks.size)
        }
        return zones
    }

    private fun recordPlaced(job: OpenJob, placed: Int) {
        freeCpus -= placed * job.taskResources.cpus
        givenTasks.merge(job, placed, Int::plus)
        starvation.onPlaced(job, placed)
        givenCpusByTeam.merge(job.team, placed * job.taskResources.cpus, Double::plus)
        givenGpusByTeam.merge(job.team, placed * job.taskResources.gpus, Double::plus)
    }

    private companion object {
        /**
         * Of the jobs that wait long only the first few are offered the headroom for services: each offer costs a pass.
         */
        const val MAX_HEADROOM_OFFERS = 5
    }
}
