package org.chalkhollow.core.placement

import org.chalkhollow.core.attempts.Allocation
import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.fleet.UnplacedTasks
import org.chalkhollow.core.fleet.ZoneConstraint
import org.chalkhollow.core.jobs.Quotas
import org.chalkhollow.model.JobState
import org.chalkhollow.model.Resources

/**
 * Migrates replicas off machines that have to be emptied: those with a spot termination notice, those drained as faulty
 * and those cordoned for deletion. A replica is stopped only once capacity for it is reserved on another machine, and
 * only one replica of a service at a time, unless its machine is reclaimed too soon for that. The replica gets the
 * reserved capacity once its old attempt is confirmed absent, under the same rules as any start. Called by [Placement]
 * and [PlacementRound].
 */
class ReplicaMigration(
    private val context: CoreContext,
    private val fleet: Fleet,
    private val quotas: Quotas,
    private val replicaPlacement: ReplicaPlacement,
    private val mayUse: (OpenJob, Machine) -> Boolean,
) {
    /** A replica whose [old] attempt is being stopped, and the machine on which capacity for it is reserved. */
    private class Migration(val old: Attempt, val target: Machine) {
        val job: OpenJob get() = old.job
        val hasOldEnded: Boolean get() = old.resolved || old.phase == Attempt.Phase.EXITED
    }

    private val migrations = ArrayList<Migration>()

    /** Whether a placement round has migrations to plan or to continue, even if no task is pending. */
    fun hasWork(): Boolean =
        migrations.isNotEmpty() ||
            fleet.machines.any { machine -> mustBeEmptied(machine) && machine.attempts.any(::mustMigrate) }

    /**
     * Allocates the reserved capacity to replicas whose old attempts have ended, and subtracts what is reserved for the
     * others from the free capacity of their targets. Restarts at most one replica of a service in a round, since zone
     * constraints count only attempts on machines.
     */
    fun allocateRestarts(placeable: List<Machine>): List<Allocation> {
        val allocations = ArrayList<Allocation>()
        migrations.removeAll { isObsolete(it) }
        for (migration in ArrayList(migrations)) {
            if (!migration.hasOldEnded || allocations.any { it.job === migration.job }) {
                reserveOnTarget(migration)
                continue
            }
            migrations.remove(migration)
            if (!mayStart(migration, placeable, allocations)) continue // it is placed like any other ready task
            reserveOnTarget(migration)
            val task = migration.job.tasks.nextReady(0)
            allocations.add(Allocation(migration.job, migration.target, intArrayOf(task), fromCredit = false))
        }
        return allocations
    }

    /** What [plan] decided: the machines on which replicas stop, and the replicas that fit on no other machine yet. */
    class Plan(val stoppedOn: List<Machine>, val unplaced: List<UnplacedTasks>)

    /** Reserves capacity for replicas that have to migrate, and stops those that may stop now. */
    fun plan(placeable: List<Machine>): Plan {
        val stoppedOn = ArrayList<Machine>()
        val unplaced = ArrayList<UnplacedTasks>()
        val attemptsToMigrate = fleet.machines.filter(::mustBeEmptied).flatMap { it.attempts.filter(::mustMigrate) }
        for (attempts in attemptsToMigrate.groupBy { it.job }.values) {
            planService(attempts, placeable, stoppedOn, unplaced)
        }
        return Plan(stoppedOn, unplaced)
    }

    /** Plans the migration of [attempts], all replicas of one service, as far as they may migrate now. */
    private fun planService(
        attempts: List<Attempt>,
        placeable: List<Machine>,
        stoppedOn: MutableList<Machine>,
        unplaced: MutableList<UnplacedTasks>,
    ) {
        val byReclaimTime = attempts.sortedWith(compareBy({ reclaimAtMs(it.machine) }, { it.index }))
        for (attempt in byReclaimTime) {
            if (hasOtherReplicaDown(attempt) && canMigrateInTurn(attempt, attempts.size)) return
            val zones = zonesWithout(attempt)
            val target = selectTarget(attempt, zones, placeable)
            if (target == null && !isOutOfTime(attempt)) {
                unplaced.add(UnplacedTasks(attempt.job, 1, mayRentOnDemand = true, zones))
                return
            }
            if (target != null) begin(Migration(attempt, target))
            attempt.requestStop()
            stoppedOn.add(attempt.machine)
        }
    }

    private fun begin(migration: Migration) {
        migrations.add(migration)
        reserveOnTarget(migration)
    }

    private fun mustBeEmptied(machine: Machine): Boolean =
        machine.state == Machine.State.UP && machine.availability.isBeingEmptied

    private fun mustMigrate(attempt: Attempt): Boolean =
        attempt.job.service && isOpen(attempt.job) && attempt.onMachine && !attempt.stopRequested

    private fun isOpen(job: OpenJob): Boolean = !job.cancelling && job.entry.state == JobState.OPEN

    /** Whether the job is no longer open, or the migration was planned in an earlier leader term of this controller. */
    private fun isObsolete(migration: Migration): Boolean {
        if (!isOpen(migration.job)) return true
        val machine = migration.old.machine
        return !migration.hasOldEnded && fleet.find(machine.name) !== machine
    }

    private fun mayStart(migration: Migration, placeable: List<Machine>, allocated: List<Allocation>): Boolean {
        val job = migration.job
        val target = migration.target
        if (!job.placeable || job.backoff.notBeforeMs > context.steady || target !in placeable) return false
        if (!job.taskResources.fitsIn(target.roundFreeCapacity) || !mayUse(job, target)) return false
        val zones = ZoneConstraint(job, fleet)
        if (zones.isBlocked || !zones.admits(target.zone)) return false
        return withinQuota(job, allocated)
    }

    /** Whether the team's quota allows one more replica on top of what was [allocated] in this round. */
    private fun withinQuota(job: OpenJob, allocated: List<Allocation>): Boolean {
        val ofTeam = allocated.filter { it.job.team == job.team }
        val cpus = ofTeam.sumOf { it.job.taskResources.cpus }
        val gpus = ofTeam.sumOf { it.job.taskResources.gpus }
        return quotas.headroom(job.team, job.taskResources, Resources(cpus, gpus, 0.0)) >= 1
    }

    private fun reserveOnTarget(migration: Migration) {
        val target = migration.target
        target.roundFreeCapacity = target.roundFreeCapacity.without(migration.job.taskResources, 1)
        // Keeps the target from being deleted as idle.
        target.availability.recordIdle(idle = false, context.steady)
    }

    /** Whether a replica of the same service other than [attempt] does not run or is being stopped. */
    private fun hasOtherReplicaDown(attempt: Attempt): Boolean {
        val job = attempt.job
        val stopping = migrations.count { it.job === job && it.old.phase == Attempt.Phase.RUNNING && !it.old.resolved }
        val itself = if (attempt.phase == Attempt.Phase.RUNNING) 0 else 1
        return job.spec.tasks - job.tasks.running + stopping - itself > 0
    }

    /** Whether [count] replicas of the service can still migrate one by one before the machine is reclaimed. */
    private fun canMigrateInTurn(attempt: Attempt, count: Int): Boolean {
        val reclaimAtMs = reclaimAtMs(attempt.machine)
        if (reclaimAtMs == Long.MAX_VALUE) return true
        return reclaimAtMs - context.steady > STOP_BEFORE_RECLAIM_MS + count * (RESTART_MS + fetchMs(attempt))
    }

    private fun fetchMs(attempt: Attempt): Long {
        val fetchGbPerS = fleet.types.getOrNull(attempt.machine.type)?.imageGbPerS ?: 0.0
        if (fetchGbPerS <= 0) return 0L
        return (attempt.job.spec.imageGb / fetchGbPerS * MS_PER_S).toLong()
    }

    private fun isOutOfTime(attempt: Attempt): Boolean =
        reclaimAtMs(attempt.machine) - context.steady <= STOP_BEFORE_RECLAIM_MS

    /** When the cloud reclaims the machine, in monotonic time; [Long.MAX_VALUE] if it stays until it is empty. */
    private fun reclaimAtMs(machine: Machine): Long =
        if (machine.availability.hasSpotNotice) machine.availability.reclaimAtMs else Long.MAX_VALUE

    /** The zone constraint as it will be once the current migrations are over and [attempt] has ended. */
    private fun zonesWithout(attempt: Attempt): ZoneConstraint {
        val zones = ZoneConstraint(attempt.job, fleet)
        for (migration in migrations) {
            if (migration.job !== attempt.job) continue
            if (!migration.hasOldEnded) zones.removeTask(migration.old.machine.zone)
            zones.addTasks(migration.target.zone, 1)
        }
        zones.removeTask(attempt.machine.zone)
        return zones
    }

    /**
     * Returns the machine to which [attempt]'s replica migrates; null if none is suitable. Prefers machines that have
     * the image, then those with fewer replicas of the service than the limit per machine, then the fullest.
     */
    private fun selectTarget(attempt: Attempt, zones: ZoneConstraint, placeable: List<Machine>): Machine? {
        val job = attempt.job
        if (zones.isBlocked) return null
        return placeable
            .filter { job.taskResources.fitsIn(it.roundFreeCapacity) && mayUse(job, it) && zones.admits(it.zone) }
            .minWithOrNull(
                compareBy(
                    { if (job.image < 0 || job.image in it.images) 0 else 1 },
                    { if (replicaPlacement.countOn(it, job) < replicaPlacement.maxPerMachine(job)) 0 else 1 },
                    { it.roundFreeCapacity.cpus },
                    { it.id },
                ),
            )
    }

    private companion object {
        /** A replica that fits on no other machine is stopped this long before its machine is reclaimed. */
        const val STOP_BEFORE_RECLAIM_MS = 1500L

        /** How long a stop, its confirmation and a start on another machine take, without fetching the image. */
        const val RESTART_MS = 2000L
    }
}
