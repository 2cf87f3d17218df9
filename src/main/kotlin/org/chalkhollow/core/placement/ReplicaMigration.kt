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
 * Moves replicas off machines that have to be emptied: those that the cloud is about to take, those set aside as faulty
 * and those that are to be returned. A replica is stopped only once room for it is held on another machine, and one
 * replica of a service at a time, unless its machine will be gone before that can be kept to. The held room is given to
 * the replica when its old attempt is proved gone, under the same rules as any start.
 */
class ReplicaMigration(
    private val context: CoreContext,
    private val fleet: Fleet,
    private val quotas: Quotas,
    private val replicas: Replicas,
    private val mayUse: (OpenJob, Machine) -> Boolean,
) {
    /** A replica whose [old] attempt was told to stop, and the machine that holds room for it. */
    private class Move(val old: Attempt, val target: Machine) {
        val job: OpenJob get() = old.job
        val oldGone: Boolean get() = old.resolved || old.phase == Attempt.Phase.EXITED
    }

    private val moves = ArrayList<Move>()

    /** Whether a placement round has something to do here, even if no task waits. */
    fun pending(): Boolean = moves.isNotEmpty() || fleet.machines.any { m -> leaves(m) && m.attempts.any(::toBeMoved) }

    /**
     * Starts the replicas whose old attempts are gone, at most one of a service in a round since rules on zones are
     * counted over what is on machines, and keeps the room of the others off what is left of their machines.
     */
    fun start(placeable: List<Machine>): List<Allocation> {
        val allocations = ArrayList<Allocation>()
        moves.removeAll { obsolete(it) }
        for (move in ArrayList(moves)) {
            if (!move.oldGone || allocations.any { it.job === move.job }) {
                hold(move)
                continue
            }
            moves.remove(move)
            if (!mayStart(move, placeable, allocations)) continue // it is placed like any other task that is ready
            hold(move)
            val task = move.job.tasks.nextReady(0)
            allocations.add(Allocation(move.job, move.target, intArrayOf(task), fromCredit = false))
        }
        return allocations
    }

    /** What [plan] decided: the machines to be told of stops, and the replicas for which there is no room yet. */
    class Plan(val stoppedOn: List<Machine>, val lacking: List<UnplacedTasks>)

    /** Finds room for replicas that have to move, holds it, and stops those whose turn it is. */
    fun plan(placeable: List<Machine>): Plan {
        val stoppedOn = ArrayList<Machine>()
        val lacking = ArrayList<UnplacedTasks>()
        val leaving = fleet.machines.filter(::leaves).flatMap { m -> m.attempts.filter(::toBeMoved) }
        for ((job, attempts) in leaving.groupBy { it.job }) {
            val byDeadline = attempts.sortedWith(compareBy({ deadline(it.machine) }, { it.index }))
            for (attempt in byDeadline) {
                if (othersDown(attempt) && canWait(attempt, attempts.size)) break
                val zones = zonesWithout(attempt)
                val target = target(attempt, zones, placeable)
                if (target == null && !outOfTime(attempt)) {
                    lacking.add(UnplacedTasks(job, 1, pressing = true, zones))
                    break
                }
                if (target != null) moves.add(Move(attempt, target).also(::hold))
                attempt.requestStop()
                stoppedOn.add(attempt.machine)
            }
        }
        return Plan(stoppedOn, lacking)
    }

    private fun leaves(m: Machine): Boolean =
        m.state == Machine.State.UP && (m.noticeAt != Machine.NEVER || m.draining || m.cordoned)

    private fun toBeMoved(a: Attempt): Boolean = a.job.service && wanted(a.job) && a.onMachine && !a.stopRequested

    private fun wanted(job: OpenJob): Boolean = !job.cancelling && job.entry.state == JobState.OPEN

    /** Of no use any more: the job is withdrawn, or the move was planned in an earlier term as leader. */
    private fun obsolete(move: Move): Boolean =
        !wanted(move.job) || !move.oldGone && fleet.find(move.old.machine.name) !== move.old.machine

    private fun mayStart(move: Move, placeable: List<Machine>, given: List<Allocation>): Boolean {
        val job = move.job
        if (!job.placeable || job.backoff.notBefore > context.steady || move.target !in placeable) return false
        if (!job.taskResources.fitsIn(move.target.left) || !mayUse(job, move.target)) return false
        val zones = ZoneConstraint(job, fleet)
        if (zones.blocked || !zones.admits(move.target.zone)) return false
        val ofTeam = given.filter { it.job.team == job.team }
        val extra =
            Resources(ofTeam.sumOf { it.job.taskResources.cpus }, ofTeam.sumOf { it.job.taskResources.gpus }, 0.0)
        return quotas.headroom(job.team, job.taskResources, extra) >= 1
    }

    private fun hold(move: Move) {
        val left = move.target.left
        val taskResources = move.job.taskResources
        move.target.left =
            Resources(
                left.cpus - taskResources.cpus,
                left.gpus - taskResources.gpus,
                left.memoryGb - taskResources.memoryGb,
            )
        move.target.idleSince = Machine.NEVER // it is not returned for idling meanwhile
    }

    /** Whether a replica of the same service other than [attempt] is down, or was told to stop. */
    private fun othersDown(attempt: Attempt): Boolean {
        val job = attempt.job
        val stopping = moves.count { it.job === job && it.old.phase == Attempt.Phase.RUNNING && !it.old.resolved }
        val itself = if (attempt.phase == Attempt.Phase.RUNNING) 0 else 1
        return job.spec.tasks - job.tasks.running + stopping - itself > 0
    }

    /** Whether [count] replicas of the service can still be moved one after the other before the machine is gone. */
    private fun canWait(attempt: Attempt, count: Int): Boolean {
        val deadline = deadline(attempt.machine)
        if (deadline == Long.MAX_VALUE) return true
        val fetchPerS = fleet.types.getOrNull(attempt.machine.type)?.imageGbPerS ?: 0.0
        val fetchMs = if (fetchPerS > 0) (attempt.job.spec.imageGb / fetchPerS * MS_PER_S).toLong() else 0L
        return deadline - context.steady > LAST_MS + count * (RESTART_MS + fetchMs)
    }

    private fun outOfTime(attempt: Attempt): Boolean = deadline(attempt.machine) - context.steady <= LAST_MS

    /** When the cloud takes the machine; [Long.MAX_VALUE] if it stays until it is empty. */
    private fun deadline(m: Machine): Long = if (m.noticeAt == Machine.NEVER) Long.MAX_VALUE else m.noticeAt

    /** The rule on zones as it will stand once the moves under way are over and [attempt] is gone. */
    private fun zonesWithout(attempt: Attempt): ZoneConstraint {
        val zones = ZoneConstraint(attempt.job, fleet)
        for (move in moves) {
            if (move.job !== attempt.job) continue
            if (!move.oldGone) zones.leave(move.old.machine.zone)
            zones.take(move.target.zone, 1)
        }
        zones.leave(attempt.machine.zone)
        return zones
    }

    /** One that holds the image if there is any, then one that has few replicas of the service, then the fullest. */
    private fun target(attempt: Attempt, zones: ZoneConstraint, placeable: List<Machine>): Machine? {
        val job = attempt.job
        if (zones.blocked) return null
        return placeable
            .filter { job.taskResources.fitsIn(it.left) && mayUse(job, it) && zones.admits(it.zone) }
            .minWithOrNull(
                compareBy(
                    { if (job.image < 0 || job.image in it.images) 0 else 1 },
                    { if (replicas.on(it, job) < replicas.mostOn(job)) 0 else 1 },
                    { it.left.cpus },
                    { it.id },
                ),
            )
    }

    private companion object {
        /** A replica without room elsewhere is stopped this long before its machine is gone. */
        const val LAST_MS = 1500L

        /** How long a stop, its proof and a start elsewhere take, without the image. */
        const val RESTART_MS = 2000L
    }
}
