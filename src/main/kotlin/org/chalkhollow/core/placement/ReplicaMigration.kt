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
 * Migrates replicas off machines that have to be emptied: those with a spot notice, those drained as faulty and those
 * cordoned so that they can be deleted. A replica is stopped only once room for it is held on another machine, and one
 * replica of a service at a time, unless its machine will be gone before that can be kept to. The held room is given to
 * the replica when its old attempt is proved gone, under the same rules as any start. Called by [Placement] and
 * [PlacementRound].
 */
class ReplicaMigration(
    private val context: CoreContext,
    private val fleet: Fleet,
    private val quotas: Quotas,
    private val replicas: Replicas,
    private val mayUse: (OpenJob, Machine) -> Boolean,
) {
    /** A replica whose [old] attempt is being stopped, and the machine that holds room for it. */
    private class Migration(val old: Attempt, val target: Machine) {
        val job: OpenJob get() = old.job
        val oldGone: Boolean get() = old.resolved || old.phase == Attempt.Phase.EXITED
    }

    private val migrations = ArrayList<Migration>()

    /** Whether a placement round has something to do here, even if no task waits. */
    fun pending(): Boolean =
        migrations.isNotEmpty() ||
            fleet.machines.any { machine -> isLeaving(machine) && machine.attempts.any(::mustMigrate) }

    /**
     * Starts the replicas whose old attempts are gone, at most one of a service in a round since zone constraints are
     * counted over what is on machines, and takes the room held for the others off the room of their machines.
     */
    fun start(placeable: List<Machine>): List<Allocation> {
        val allocations = ArrayList<Allocation>()
        migrations.removeAll { isObsolete(it) }
        for (migration in ArrayList(migrations)) {
            if (!migration.oldGone || allocations.any { it.job === migration.job }) {
                holdRoom(migration)
                continue
            }
            migrations.remove(migration)
            if (!mayStart(migration, placeable, allocations)) continue // it is placed like any other task that is ready
            holdRoom(migration)
            val task = migration.job.tasks.nextReady(0)
            allocations.add(Allocation(migration.job, migration.target, intArrayOf(task), fromCredit = false))
        }
        return allocations
    }

    /** What [plan] decided: the machines on which replicas stop, and the replicas for which there is no room yet. */
    class Plan(val stoppedOn: List<Machine>, val unplaced: List<UnplacedTasks>)

    /** Finds room for replicas that have to migrate, holds it, and stops those whose turn it is. */
    fun plan(placeable: List<Machine>): Plan {
        val stoppedOn = ArrayList<Machine>()
        val unplaced = ArrayList<UnplacedTasks>()
        val leaving = fleet.machines.filter(::isLeaving).flatMap { it.attempts.filter(::mustMigrate) }
        for (attempts in leaving.groupBy { it.job }.values) {
            planService(attempts, placeable, stoppedOn, unplaced)
        }
        return Plan(stoppedOn, unplaced)
    }

    /** Plans the migration of [attempts], which are replicas of one service, as far as they may go now. */
    private fun planService(
        attempts: List<Attempt>,
        placeable: List<Machine>,
        stoppedOn: MutableList<Machine>,
        unplaced: MutableList<UnplacedTasks>,
    ) {
        val byDeadline = attempts.sortedWith(compareBy({ deadline(it.machine) }, { it.index }))
        for (attempt in byDeadline) {
            if (othersDown(attempt) && canWait(attempt, attempts.size)) return
            val zones = zonesWithout(attempt)
            val target = target(attempt, zones, placeable)
            if (target == null && !outOfTime(attempt)) {
                unplaced.add(UnplacedTasks(attempt.job, 1, pressing = true, zones))
                return
            }
            if (target != null) begin(Migration(attempt, target))
            attempt.requestStop()
            stoppedOn.add(attempt.machine)
        }
    }

    private fun begin(migration: Migration) {
        migrations.add(migration)
        holdRoom(migration)
    }

    private fun isLeaving(machine: Machine): Boolean =
        machine.state == Machine.State.UP && machine.availability.isBeingEmptied

    private fun mustMigrate(attempt: Attempt): Boolean =
        attempt.job.service && isWanted(attempt.job) && attempt.onMachine && !attempt.stopRequested

    private fun isWanted(job: OpenJob): Boolean = !job.cancelling && job.entry.state == JobState.OPEN

    /** Of no use any more: the job is withdrawn, or the migration was planned in an earlier term as leader. */
    private fun isObsolete(migration: Migration): Boolean {
        if (!isWanted(migration.job)) return true
        val machine = migration.old.machine
        return !migration.oldGone && fleet.find(machine.name) !== machine
    }

    private fun mayStart(migration: Migration, placeable: List<Machine>, given: List<Allocation>): Boolean {
        val job = migration.job
        val target = migration.target
        if (!job.placeable || job.backoff.notBeforeMs > context.steady || target !in placeable) return false
        if (!job.taskResources.fitsIn(target.roundFreeCapacity) || !mayUse(job, target)) return false
        val zones = ZoneConstraint(job, fleet)
        if (zones.blocked || !zones.admits(target.zone)) return false
        return withinQuota(job, given)
    }

    /** Whether the team's quota allows one more replica beside what was [given] in this round. */
    private fun withinQuota(job: OpenJob, given: List<Allocation>): Boolean {
        val ofTeam = given.filter { it.job.team == job.team }
        val cpus = ofTeam.sumOf { it.job.taskResources.cpus }
        val gpus = ofTeam.sumOf { it.job.taskResources.gpus }
        return quotas.headroom(job.team, job.taskResources, Resources(cpus, gpus, 0.0)) >= 1
    }

    private fun holdRoom(migration: Migration) {
        val target = migration.target
        target.roundFreeCapacity = target.roundFreeCapacity.without(migration.job.taskResources, 1)
        // It is not deleted for idling meanwhile.
        target.availability.recordIdle(idle = false, context.steady)
    }

    /** Whether a replica of the same service other than [attempt] is down, or was commanded to stop. */
    private fun othersDown(attempt: Attempt): Boolean {
        val job = attempt.job
        val stopping = migrations.count { it.job === job && it.old.phase == Attempt.Phase.RUNNING && !it.old.resolved }
        val itself = if (attempt.phase == Attempt.Phase.RUNNING) 0 else 1
        return job.spec.tasks - job.tasks.running + stopping - itself > 0
    }

    /** Whether [count] replicas of the service can still migrate one after the other before the machine is gone. */
    private fun canWait(attempt: Attempt, count: Int): Boolean {
        val deadline = deadline(attempt.machine)
        if (deadline == Long.MAX_VALUE) return true
        return deadline - context.steady > LAST_STOP_MS + count * (RESTART_MS + fetchMs(attempt))
    }

    private fun fetchMs(attempt: Attempt): Long {
        val fetchGbPerS = fleet.types.getOrNull(attempt.machine.type)?.imageGbPerS ?: 0.0
        if (fetchGbPerS <= 0) return 0L
        return (attempt.job.spec.imageGb / fetchGbPerS * MS_PER_S).toLong()
    }

    private fun outOfTime(attempt: Attempt): Boolean = deadline(attempt.machine) - context.steady <= LAST_STOP_MS

    /** When the cloud reclaims the machine; [Long.MAX_VALUE] if it stays until it is empty. */
    private fun deadline(machine: Machine): Long =
        if (machine.availability.hasSpotNotice) machine.availability.reclaimAtMs else Long.MAX_VALUE

    /** The zone constraint as it will stand once the migrations under way are over and [attempt] is gone. */
    private fun zonesWithout(attempt: Attempt): ZoneConstraint {
        val zones = ZoneConstraint(attempt.job, fleet)
        for (migration in migrations) {
            if (migration.job !== attempt.job) continue
            if (!migration.oldGone) zones.removeTask(migration.old.machine.zone)
            zones.addTasks(migration.target.zone, 1)
        }
        zones.removeTask(attempt.machine.zone)
        return zones
    }

    /** One that holds the image if there is any, then one that has few replicas of the service, then the fullest. */
    private fun target(attempt: Attempt, zones: ZoneConstraint, placeable: List<Machine>): Machine? {
        val job = attempt.job
        if (zones.blocked) return null
        return placeable
            .filter { job.taskResources.fitsIn(it.roundFreeCapacity) && mayUse(job, it) && zones.admits(it.zone) }
            .minWithOrNull(
                compareBy(
                    { if (job.image < 0 || job.image in it.images) 0 else 1 },
                    { if (replicas.countOn(it, job) < replicas.maxPerMachine(job)) 0 else 1 },
                    { it.roundFreeCapacity.cpus },
                    { it.id },
                ),
            )
    }

    private companion object {
        /** A replica without room elsewhere is stopped this long before its machine is gone. */
        const val LAST_STOP_MS = 1500L

        /** How long a stop, its proof and a start elsewhere take, without the image. */
        const val RESTART_MS = 2000L
    }
}
