package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.DispatchMarker
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.core.jobs.Quotas
import org.chalkhollow.model.ExitCause
import org.chalkhollow.model.TaskStatus
import org.chalkhollow.model.WorkerHeartbeat
import java.util.BitSet

/**
 * Owns the state of attempts: reserved, marker persisted, start sent, on a machine, exited. Reconciles it with
 * heartbeats. An attempt is resolved, and its task can be placed again, only on proof that the attempt does not run
 * anywhere and will not start later.
 *
 * This class is the only entry point to the code that tracks attempts. [DispatchLog] calls it for reservations and
 * markers, [HeartbeatHandler] and [WorkerCommandSender] for heartbeats, and the controller's event dispatcher when
 * machines are gone or outcomes are recorded. It publishes [AttemptEvents].
 */
class AttemptReconciler(
    context: CoreContext,
    private val jobs: JobTable,
    quotas: Quotas,
    events: AttemptEvents = AttemptEvents.None,
    private val fencingToken: () -> Long,
) {
    private val reservations = AttemptReservations(context, quotas, events)
    private val lifecycle = AttemptLifecycle(context, reservations, events)
    private val outcomes = AttemptOutcomes(context, reservations)

    fun clear() = reservations.clear()

    /** See [AttemptReservations.creditCpus]. */
    val creditCpus: Double get() = reservations.creditCpus

    /** See [AttemptReservations.reserve]. */
    fun reserve(
        job: OpenJob,
        index: Int,
        number: Long,
        machine: Machine,
        marker: DispatchMarker?,
        fromCredit: Boolean = false,
    ): Attempt = reservations.reserve(job, index, number, machine, marker, fromCredit)

    /** See [AttemptReservations.reserveInherited]. */
    fun reserveInherited(job: OpenJob, index: Int, number: Long, machine: Machine, marker: DispatchMarker?): Attempt =
        reservations.reserveInherited(job, index, number, machine, marker)

    /** See [AttemptLifecycle.onMarkersPersisted]. */
    fun onMarkersPersisted(attempts: List<Attempt>) = lifecycle.onMarkersPersisted(attempts)

    /** See [AttemptLifecycle.onMarkersRejected]. */
    fun onMarkersRejected(attempts: List<Attempt>) = lifecycle.onMarkersRejected(attempts)

    /** See [AttemptLifecycle.withdraw]. */
    fun withdraw(attempt: Attempt) = lifecycle.withdraw(attempt)

    /** See [AttemptOutcomes.onCompletionsRecorded]. */
    fun onOutcomesRecorded(job: OpenJob, done: BitSet) = outcomes.onCompletionsRecorded(job, done)

    /** All attempts on [machine] are confirmed absent: the machine was deleted or its lease expired. */
    fun onMachineGone(machine: Machine) = resolveAttempts(machine, includeInherited = true)

    /**
     * [machine] began a new epoch, which ends the attempts of the previous one. Attempts of earlier leaders are
     * resolved only if [hadSentCurrentFencingToken]: an earlier heartbeat of the machine carried this leader's fencing
     * token. Otherwise the previous epoch is known only from heartbeats sent before that token, possibly delayed
     * copies, and an earlier leader's starts may run in the new epoch. An earlier version resolved those attempts too,
     * and their tasks ran twice.
     */
    fun onNewEpoch(machine: Machine, hadSentCurrentFencingToken: Boolean) =
        resolveAttempts(machine, includeInherited = hadSentCurrentFencingToken)

    /** Resolves the attempts on [machine] after its epoch ended; inherited ones only if [includeInherited]. */
    private fun resolveAttempts(machine: Machine, includeInherited: Boolean) {
        for (attempt in ArrayList(machine.attempts)) {
            if (attempt.phase == Attempt.Phase.MARKER_PENDING) continue // see onMarkersPersisted and onMarkersRejected
            if (attempt.inherited && !includeInherited) continue
            // The completion is still being recorded, for which the machine is not needed.
            if (attempt.phase == Attempt.Phase.EXITED && !attempt.outcomeRecorded) continue
            attempt.directStartConcluded()
            reservations.resolve(attempt)
        }
    }

    /**
     * Handles a task list that is newer than all earlier ones of this machine. Only absence from a list that comes
     * [fromHeartbeat] proves that an attempt's start is not under way: the worker has one heartbeat in flight at a
     * time, so it has handled or dropped every earlier response. Absence from the reply to a direct command does not
     * prove this.
     */
    fun reconcile(machine: Machine, heartbeat: WorkerHeartbeat, fromHeartbeat: Boolean) {
        if (isUnchanged(machine, heartbeat)) return
        val hasCurrentFencingToken = heartbeat.fencingToken >= fencingToken()
        val known = attemptsByIdentity(machine)
        val reported = HashMap<Attempt, TaskStatus>(heartbeat.tasks.size * 2)
        val unknown = ArrayList<TaskStatus>()
        for (task in heartbeat.tasks) {
            val attempt = jobs.find(task.jobId)?.let { known[Identity(it.index, task.index, task.attempt)] }
            if (attempt == null) unknown.add(task) else reported[attempt] = task
        }
        for (attempt in ArrayList(machine.attempts)) {
            val task = reported[attempt]
            if (task != null) {
                onObserved(attempt, task)
            } else if (fromHeartbeat) {
                onMissing(attempt, hasCurrentFencingToken)
            }
        }
        machine.orphans = unknown.filter { !adoptOrphan(machine, it) }
        machine.lastReconciledTasks = heartbeat.tasks.takeIf { fromHeartbeat && unknown.isEmpty() }
    }

    /**
     * Whether the heartbeat lists the same tasks as the last one and all attempts are among them, including finished
     * ones that the worker has to remember. This holds for most heartbeats, so the check is cheap.
     */
    private fun isUnchanged(machine: Machine, heartbeat: WorkerHeartbeat): Boolean =
        heartbeat.tasks === machine.lastReconciledTasks &&
            heartbeat.tasks.size == machine.attempts.size &&
            machine.attempts.all { it.onMachine || it.finished }

    /**
     * Attempts are identified by job, index and number. An earlier version combined the three into one number; when two
     * attempts got the same one, the completion of one counted for the other.
     */
    private fun attemptsByIdentity(machine: Machine): Map<Identity, Attempt> {
        val known = HashMap<Identity, Attempt>(machine.attempts.size * 2)
        for (attempt in machine.attempts) {
            known[Identity(attempt.job.entry.index, attempt.index, attempt.number)] = attempt
        }
        return known
    }

    /** A heartbeat of the attempt's machine does not list the attempt. */
    private fun onMissing(attempt: Attempt, hasCurrentFencingToken: Boolean) {
        when (attempt.phase) {
            Attempt.Phase.MARKER_PENDING, Attempt.Phase.MARKER_PERSISTED -> Unit
            Attempt.Phase.START_SENT -> onStartMissing(attempt, hasCurrentFencingToken)
            Attempt.Phase.EXITED -> if (attempt.outcomeRecorded) reservations.resolve(attempt)
            Attempt.Phase.FETCHING, Attempt.Phase.RUNNING, Attempt.Phase.SAVING -> {
                val provesAbsence = hasCurrentFencingToken || !attempt.inherited
                if (!attempt.directStartOutcomeUnknown && provesAbsence) reservations.resolve(attempt)
            }
        }
    }

    private fun onStartMissing(attempt: Attempt, hasCurrentFencingToken: Boolean) {
        when {
            attempt.directStartOutcomeUnknown -> Unit // the direct start may still be carried out
            // A worker that has seen this leader's fencing token rejects starts of earlier leaders.
            attempt.inherited -> if (hasCurrentFencingToken) reservations.resolve(attempt)
            else -> attempt.startNotExecuted() // the worker has not handled the response and will not do so later
        }
    }

    /** The attempt's machine lists the attempt. */
    private fun onObserved(attempt: Attempt, task: TaskStatus) {
        when (task.phase) {
            TaskStatus.Phase.FETCHING -> lifecycle.onPhaseObserved(attempt, Attempt.Phase.FETCHING)
            TaskStatus.Phase.RUNNING -> lifecycle.onPhaseObserved(attempt, Attempt.Phase.RUNNING)
            TaskStatus.Phase.SAVING -> lifecycle.onPhaseObserved(attempt, Attempt.Phase.SAVING)
            TaskStatus.Phase.EXITED ->
                if (attempt.phase != Attempt.Phase.EXITED) outcomes.onExit(attempt, task.cause ?: ExitCause.ERROR)
        }
        if (attempt.job.image >= 0) attempt.machine.images.add(attempt.job.image)
    }

    /**
     * Starts to track a task on [machine] that matches no known attempt; false if the worker is to stop or forget it
     * instead.
     */
    private fun adoptOrphan(machine: Machine, task: TaskStatus): Boolean {
        val job = jobs.find(task.jobId)?.open ?: return false
        if (task.index >= job.spec.tasks) return false
        if (task.phase == TaskStatus.Phase.EXITED) {
            if (task.cause != ExitCause.DONE) return false
        } else if (job.progress.isDone(task.index) || job.tasks.isLive(task.index)) {
            return false
        }
        onObserved(reserveInherited(job, task.index, task.attempt, machine, marker = null), task)
        return true
    }

    private data class Identity(val job: Int, val index: Int, val number: Long)
}
