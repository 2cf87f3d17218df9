package org.chalkhollow.core.placement

import org.chalkhollow.core.attempts.Allocation
import org.chalkhollow.core.cluster.FairShareCredit
import org.chalkhollow.core.cluster.HoldReason
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.fleet.UnplacedTasks
import org.chalkhollow.core.fleet.ZoneConstraint
import org.chalkhollow.core.jobs.Quotas
import org.chalkhollow.model.Resources

/** How many tasks of a job a round should place; [limit] says why not all that the team's quota allows. */
private class Demand(val tasks: Int, val limit: HoldReason?)

/** Ready replicas of one service that exceed their team's quota. */
class ReplicasOverQuota(val job: OpenJob, val count: Int)

/**
 * Owns what one round has allocated so far and which tasks it could not place. Teams' quotas, the headroom for urgent
 * jobs and for services, and the credit of jobs apply to the round as a whole. Created by [Placement], which calls it
 * for each job in their order.
 */
class PlacementRound(
    private val context: CoreContext,
    private val quotas: Quotas,
    private val fleet: Fleet,
    private val order: JobOrder,
    private val starvation: StarvationPrevention,
    private val selector: MachineSelector,
    private val replicaPlacement: ReplicaPlacement,
    private val freeCapacity: FreeCapacity,
) {
    /**
     * The machines with free capacity for some pending task, the CPUs that have to stay free for urgent jobs, and a
     * function that reserves capacity for replicas that have to migrate.
     */
    class FreeCapacity(
        val machines: List<Machine>,
        val urgentHeadroomCpus: Double,
        val planMigrations: () -> ReplicaMigration.Plan,
    )

    val allocations = ArrayList<Allocation>()
    val unplaced = ArrayList<UnplacedTasks>()
    val overQuota = ArrayList<ReplicasOverQuota>()

    /** Machines on which this round requested stops of replicas that migrate. */
    val stoppedOn = ArrayList<Machine>()
    private val machines get() = freeCapacity.machines
    private var freeCpus = machines.sumOf { it.roundFreeCapacity.cpus }
    private val fleetCpus = order.fleetCpus

    /** CPU seconds of the pending work of this job and of those served before it. */
    private var backlogCpuS = 0.0
    private val allocatedCpusByTeam = HashMap<Int, Double>()
    private val allocatedGpusByTeam = HashMap<Int, Double>()
    private val allocatedTasks = HashMap<OpenJob, Int>()

    /** Whether the headroom for services has been subtracted from the free capacity for other jobs. */
    private var serviceHeadroomReserved = false
    private var headroomReleasesLeft = MAX_HEADROOM_RELEASES

    /** Services of which a replica restarts on reserved capacity; their other replicas wait for the next round. */
    private val servicesRestarting = HashSet<OpenJob>()
    private var migrationsPlanned = false

    /** Adds [restarts] of migrating replicas, whose machines are already chosen. */
    fun addRestarts(restarts: List<Allocation>) {
        for (allocation in restarts) {
            allocations.add(allocation)
            servicesRestarting.add(allocation.job)
            recordPlaced(allocation.job, allocation.tasks.size)
        }
    }

    /** Plans replica migrations, once a round: after service replicas are placed and before any other job is. */
    fun migrateReplicas() {
        if (migrationsPlanned) return
        migrationsPlanned = true
        val plan = freeCapacity.planMigrations()
        stoppedOn.addAll(plan.stoppedOn)
        unplaced.addAll(plan.unplaced)
    }

    /** Places as many tasks of the job as it may have; with [cachedImageOnly] only on machines that have its image. */
    fun serve(job: OpenJob, cachedImageOnly: Boolean) {
        if (job in servicesRestarting) return
        reserveHeadroomBefore(job)
        val ready = job.tasks.readyCount - (allocatedTasks[job] ?: 0)
        val withinQuota = minOf(ready, tasksLeftInQuota(job))
        if (job.service && withinQuota < ready) overQuota.add(ReplicasOverQuota(job, ready - withinQuota))
        // A zone constraint does not count what earlier calls of this round placed: one call places all of such a job.
        val inOnePass = job.gang || job.hasZoneConstraint
        val demand = demand(job, withinQuota, ready)
        val wanted = if (cachedImageOnly && inOnePass) 0 else demand.tasks
        val placed = if (wanted > 0) placeWithHeadroom(job, wanted, cachedImageOnly) else 0
        if (placed > 0) recordPlaced(job, placed)
        if (cachedImageOnly || placed == ready) return
        job.hold.hold(holdReason(demand, placed), context.steady)
        if (placed < withinQuota) recordUnplaced(job, withinQuota - placed, canBePressing = wanted > 0)
    }

    private fun holdReason(demand: Demand, placed: Int): HoldReason =
        if (placed < demand.tasks) HoldReason.NO_CAPACITY else demand.limit ?: HoldReason.TEAM_LIMIT

    /** Reserves headroom for services before the first job that is neither a service nor has credit. */
    private fun reserveHeadroomBefore(job: OpenJob) {
        if (serviceHeadroomReserved || job.service || starvation.isServedFirst(job)) return
        serviceHeadroomReserved = true
        migrateReplicas()
        freeCpus -= replicaPlacement.reserveHeadroom(machines)
    }

    /** How many of the [maxTasks] tasks that the team's quota allows should be placed, of [ready] ready ones. */
    private fun demand(job: OpenJob, maxTasks: Int, ready: Int): Demand {
        var wanted = maxTasks
        var limit: HoldReason? = null

        fun limitTo(tasks: Int, reason: HoldReason) {
            if (tasks >= wanted) return
            wanted = tasks
            limit = reason
        }
        // The job's tasks fail on several machines: one task is placed as a probe.
        if (job.backoff.failures > 0 && job.backoff.failsOnSeveralMachines(context.steady)) {
            limitTo(1, HoldReason.FAILURE_BACKOFF)
        }
        if (starvation.isServedFirst(job) && !job.gang) {
            limitTo(starvation.tasksFromCredit(job), HoldReason.CREDIT_SHARE)
        } else if (order.mustLeaveUrgentHeadroom(job)) {
            val tasks = ((freeCpus - freeCapacity.urgentHeadroomCpus) / job.countedCpus).toInt()
            limitTo(tasks, HoldReason.URGENT_HEADROOM)
        }
        // All at once or not at all.
        if (job.gang && (!job.tasks.noneLive || wanted < ready)) limitTo(0, limit ?: HoldReason.GANG_INCOMPLETE)
        return Demand(wanted, limit)
    }

    /** Places tasks, also in the headroom for services if the job may use it. */
    private fun placeWithHeadroom(job: OpenJob, wanted: Int, cachedImageOnly: Boolean): Int {
        val placed = place(job, wanted, 0, cachedImageOnly)
        if (cachedImageOnly || placed >= wanted || !trySpendHeadroomRelease(job, placed)) return placed
        replicaPlacement.releaseHeadroom()
        val more = place(job, wanted - placed, placed, false)
        replicaPlacement.reserveHeadroom(machines)
        return placed + more
    }

    private fun place(job: OpenJob, wanted: Int, placed: Int, cachedImageOnly: Boolean): Int {
        if (job.gang) return selector.placeGang(job, wanted, machines, allocations)
        val skip = (allocatedTasks[job] ?: 0) + placed
        return selector.place(job, wanted, machines, allocations, skip, cachedImageOnly)
    }

    /**
     * Whether the job may use the headroom for services because it has waited long, see
     * [FairShareCredit.hasWaitedLong]. If so, this uses up one of the round's [MAX_HEADROOM_RELEASES].
     */
    private fun trySpendHeadroomRelease(job: OpenJob, placed: Int): Boolean {
        if (!serviceHeadroomReserved || job.service) return false
        if (placed > 0 && job.hasZoneConstraint) return false
        return job.credit.hasWaitedLong(context.now.wall) && headroomReleasesLeft-- > 0
    }

    private fun tasksLeftInQuota(job: OpenJob): Int {
        val cpus = allocatedCpusByTeam[job.team] ?: 0.0
        val gpus = allocatedGpusByTeam[job.team] ?: 0.0
        return quotas.headroom(job.team, job.taskResources, Resources(cpus, gpus, 0.0))
    }

    /** Records [count] tasks that could not be placed; they are pressing only if [canBePressing]. */
    private fun recordUnplaced(job: OpenJob, count: Int, canBePressing: Boolean) {
        if (canBePressing) backlogCpuS += count * job.taskResources.cpus * job.spec.expectedS
        val pressing = canBePressing && order.mayMissObjective(job, backlogCpuS / maxOf(1.0, fleetCpus))
        val zones = if (job.hasZoneConstraint) zonesAfter(job) else null
        unplaced.add(UnplacedTasks(job, count, pressing, zones))
    }

    /** The zone constraint including the tasks of the job that this round has placed. */
    private fun zonesAfter(job: OpenJob): ZoneConstraint {
        val zones = ZoneConstraint(job, fleet)
        for (allocation in allocations) {
            if (allocation.job === job) zones.addTasks(allocation.machine.zone, allocation.tasks.size)
        }
        return zones
    }

    private fun recordPlaced(job: OpenJob, placed: Int) {
        freeCpus -= placed * job.taskResources.cpus
        allocatedTasks.merge(job, placed, Int::plus)
        starvation.onAllocated(job, placed)
        allocatedCpusByTeam.merge(job.team, placed * job.taskResources.cpus, Double::plus)
        allocatedGpusByTeam.merge(job.team, placed * job.taskResources.gpus, Double::plus)
    }

    private companion object {
        /** Only the first few jobs that have waited long may use the headroom for services: each costs another pass. */
        const val MAX_HEADROOM_RELEASES = 5
    }
}
