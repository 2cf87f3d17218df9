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
 * Owns what is known of attempts: reserved, marker persisted, start sent, on a machine, exited. Reconciles it with
 * heartbeats: an attempt is resolved, and its task free to be placed again, only on proof that it runs nowhere and
 * never will.
 *
 * This is the one entry to the parts that keep attempts. [DispatchLog] calls it for reservations and markers,
 * [HeartbeatHandler] and [WorkerCommandSender] for heartbeats, and the controller's event dispatcher when machines are
 * gone or outcomes are recorded. It publishes [AttemptEvents].
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

    /** CPUs held by attempts that were given to jobs that had been passed over. */
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

    /** See [AttemptLifecycle.onMarkersAbandoned]. */
    fun onMarkersAbandoned(attempts: List<Attempt>) = lifecycle.onMarkersAbandoned(attempts)

    /** See [AttemptLifecycle.withdraw]. */
    fun withdraw(attempt: Attempt) = lifecycle.withdraw(attempt)

    /** See [AttemptOutcomes.onRecorded]. */
    fun onOutcomesRecorded(job: OpenJob, done: BitSet) = outcomes.onRecorded(job, done)

    /** Everything on [machine] is certainly gone: it was deleted, its lease expired, or a new epoch has begun. */
    fun onMachineGone(machine: Machine) = resolveEnded(machine, inherited = true)

    /**
     * [machine] is in a new epoch, which ends what was in the one before. That says nothing of what an earlier leader
     * started: while the epoch that we knew is only known from heartbeats of before our fencing token, old copies
     * among them, its starts may be in the new one. An earlier version took them for gone, and they ran twice.
     */
    fun onNewEpoch(machine: Machine, knewOurFencingToken: Boolean) =
        resolveEnded(machine, inherited = knewOurFencingToken)

    /** Resolves what an end of [machine]'s epoch ends; of [inherited] attempts only when that is proof of theirs. */
    private fun resolveEnded(machine: Machine, inherited: Boolean) {
        for (attempt in ArrayList(machine.attempts)) {
            if (attempt.phase == Attempt.Phase.MARKER_PENDING) continue // its marker decides: see onMarkersPersisted
            if (attempt.inherited && !inherited) continue
            // A completion that is being recorded does not need the machine.
            if (attempt.phase == Attempt.Phase.EXITED && !attempt.outcomeRecorded) continue
            attempt.directStartConcluded()
            reservations.resolve(attempt)
        }
    }

    /**
     * Takes in a task list that is newer than all before it from this machine. Only one [fromHeartbeat] proves by
     * silence that a start is not under way: the worker has one heartbeat in flight at a time, so it has taken or
     * dropped every response before it. The reply to a direct command proves no such thing.
     */
    fun reconcile(machine: Machine, heartbeat: WorkerHeartbeat, fromHeartbeat: Boolean) {
        if (isUnchanged(machine, heartbeat)) return
        val atOurFencingToken = heartbeat.fencingToken >= fencingToken()
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
                onMissing(attempt, atOurFencingToken)
            }
        }
        machine.orphans = unknown.filter { !adoptOrphan(machine, it) }
        machine.lastReconciledTasks = heartbeat.tasks.takeIf { fromHeartbeat && unknown.isEmpty() }
    }

    /** Whether this says what the last heartbeat did and nothing waits for its silence: most do, so this is cheap. */
    private fun isUnchanged(machine: Machine, heartbeat: WorkerHeartbeat): Boolean =
        heartbeat.tasks === machine.lastReconciledTasks &&
            heartbeat.tasks.size == machine.attempts.size &&
            machine.attempts.all { it.onMachine }

    /**
     * Attempts are distinguished by all that names them. An earlier version mixed it into one number; where two came
     * out the same, the one's completion was taken for the other's.
     */
    private fun attemptsByIdentity(machine: Machine): Map<Identity, Attempt> {
        val known = HashMap<Identity, Attempt>(machine.attempts.size * 2)
        for (attempt in machine.attempts) {
            known[Identity(attempt.job.entry.index, attempt.index, attempt.number)] = attempt
        }
        return known
    }

    /** A heartbeat of the attempt's machine does not list it. */
    private fun onMissing(attempt: Attempt, atOurFencingToken: Boolean) {
        when (attempt.phase) {
            Attempt.Phase.MARKER_PENDING, Attempt.Phase.MARKER_PERSISTED -> Unit
            Attempt.Phase.START_SENT -> onStartMissing(attempt, atOurFencingToken)
            Attempt.Phase.EXITED -> if (attempt.outcomeRecorded) reservations.resolve(attempt)
            Attempt.Phase.FETCHING, Attempt.Phase.RUNNING, Attempt.Phase.SAVING -> {
                val provesAbsence = atOurFencingToken || !attempt.inherited
                if (!attempt.directStartOutcomeUnknown && provesAbsence) reservations.resolve(attempt)
            }
        }
    }

    private fun onStartMissing(attempt: Attempt, atOurFencingToken: Boolean) {
        when {
            attempt.directStartOutcomeUnknown -> Unit // the start may still be under way
            // At our fencing token an older leader's start can no longer be obeyed.
            attempt.inherited -> if (atOurFencingToken) reservations.resolve(attempt)
            else -> attempt.startNotExecuted() // the response was dropped, and stays dropped
        }
    }

    /** The attempt's machine lists it. */
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

    /** Takes over a task on [machine] that no marker of ours explains; false if it is only to be removed. */
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
