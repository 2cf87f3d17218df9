package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.DispatchMarker
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.core.jobs.Quotas
import org.chalkhollow.model.ExitCause
import org.chalkhollow.model.JobState
import org.chalkhollow.model.TaskStatus
import org.chalkhollow.model.WorkerHeartbeat

/**
 * Owns what is known of attempts: reserved, marked, sent, on a machine, exited. An attempt is settled, and its task
 * free to be placed again, only on proof that it runs nowhere and never will.
 */
class AttemptReconciler(
    private val context: CoreContext,
    private val jobs: JobTable,
    private val quotas: Quotas,
    private val events: AttemptEvents = AttemptEvents.None,
    private val fencingToken: () -> Long,
) {
    fun clear() {
        creditCpus = 0.0
    }

    /** CPUs of what was given to jobs that had been passed over. */
    var creditCpus = 0.0
        private set

    fun reserve(
        job: OpenJob,
        index: Int,
        number: Long,
        machine: Machine,
        marker: DispatchMarker?,
        fromCredit: Boolean = false,
    ): Attempt {
        // A replica never ends: what it is given would be missing from the share of passed over work for good.
        val attempt = Attempt(job, index, number, machine, marker, fromCredit && !job.service)
        if (attempt.fromCredit) creditCpus += job.taskResources.cpus
        attempt.since = context.steady
        attempt.placedAt = context.steady
        attempt.cached = job.image in machine.held
        machine.attempts.add(attempt)
        machine.occupy(job.taskResources)
        job.taken(index)
        quotas.add(job.team, job.taskResources)
        if (marker != null) marker.outstanding++
        return attempt
    }

    fun marked(attempts: List<Attempt>) {
        val machines = LinkedHashSet<Machine>()
        for (a in attempts) {
            if (a.settled) continue
            a.phase = Attempt.Phase.MARKED
            if (a.machine.state != Machine.State.UP) settle(a) else machines.add(a.machine)
        }
        for (m in machines) events.onMarkersDurable(m)
    }

    /** The marker that should list [attempts] cannot be written: none was sent, and their tasks are ready again. */
    fun unmarked(attempts: List<Attempt>) = attempts.forEach(::settle)

    /** Frees what the attempt held: it is on no machine, and the task is ready again unless it is done. */
    private fun settle(a: Attempt) {
        if (a.settled) return
        if (a.phase != Attempt.Phase.EXITED) release(a)
        a.settled = true
        a.machine.attempts.remove(a)
        a.marker?.let { if (!a.forgettable) events.onMarkerSettled(it) }
    }

    private fun release(a: Attempt) {
        if (a.onMachine && a.phase != Attempt.Phase.FETCHING) a.job.running--
        quotas.remove(a.job.team, a.job.taskResources)
        a.machine.vacate(a.job.taskResources)
        if (a.fromCredit) creditCpus -= a.job.taskResources.cpus
        context.changed()
        a.job.released(a.index)
    }

    /** Everything on [machine] is certainly gone: deleted, lapsed, or from a session before a new one. */
    fun machineGone(machine: Machine) = gone(machine, inherited = true)

    /**
     * [machine] is in a new session, which ends what was in the one before. That says nothing of what an earlier leader
     * started: while the session that we knew is only told by reports of before our token, old copies among them, its
     * starts may be in the new one. An earlier version took them for gone, and they ran twice.
     */
    fun onNewEpoch(machine: Machine, knewOurFencingToken: Boolean) = gone(machine, inherited = knewOurFencingToken)

    private fun gone(machine: Machine, inherited: Boolean) {
        for (a in ArrayList(machine.attempts)) {
            if (a.phase == Attempt.Phase.MARKING) continue // its marker decides: see marked()
            if (a.inherited && !inherited) continue
            if (a.phase == Attempt.Phase.EXITED && !a.forgettable) {
                // Completed, and being recorded; the record does not need the machine.
                continue
            }
            a.directPending = false
            settle(a)
        }
    }

    /**
     * Takes in a report that is newer than all before it from this machine. Only a [fromHeartbeat] proves by silence
     * that a start is not under way: the worker has one report in flight at a time, so it has taken or dropped every
     * response before it.
     */
    fun reconcile(m: Machine, heartbeat: WorkerHeartbeat, fromHeartbeat: Boolean) {
        if (repeats(m, heartbeat)) return
        val current = heartbeat.fencingToken >= fencingToken()
        // Attempts are told apart by all that names them. An earlier version mixed it into one number; where two came
        // out the same, the one's completion was taken for the other's.
        val known = HashMap<Identity, Attempt>(m.attempts.size * 2)
        for (a in m.attempts) known[Identity(a.job.entry.id, a.index, a.number)] = a
        val reported = HashMap<Attempt, TaskStatus>(heartbeat.tasks.size * 2)
        val unknown = ArrayList<TaskStatus>()
        for (t in heartbeat.tasks) {
            val a = jobs.find(t.jobId)?.let { known[Identity(it.id, t.index, t.attempt)] }
            if (a == null) unknown.add(t) else reported[a] = t
        }
        for (a in ArrayList(m.attempts)) {
            val t = reported[a]
            if (t != null) {
                present(a, t)
            } else if (fromHeartbeat) {
                absent(a, current)
            }
        }
        m.orphans = unknown.filter { !adopt(m, it) }
        m.reconciled = heartbeat.tasks.takeIf { fromHeartbeat && unknown.isEmpty() }
    }

    /** Whether the report says what the last one did and nothing waits for its silence: most do, so this is cheap. */
    private fun repeats(m: Machine, heartbeat: WorkerHeartbeat): Boolean =
        heartbeat.tasks === m.reconciled && heartbeat.tasks.size == m.attempts.size && m.attempts.all { it.onMachine }

    private fun absent(a: Attempt, current: Boolean) {
        when (a.phase) {
            Attempt.Phase.MARKING, Attempt.Phase.MARKED -> Unit
            Attempt.Phase.SENT ->
                when {
                    a.directPending -> Unit // the start may still be under way
                    a.inherited -> if (current) settle(a) // an older leader's start can no longer be obeyed
                    else -> a.phase = Attempt.Phase.MARKED // the response was dropped, and stays dropped
                }
            Attempt.Phase.EXITED -> if (a.forgettable) settle(a) else Unit
            else -> if (!a.directPending && (current || !a.inherited)) settle(a)
        }
    }

    private fun present(a: Attempt, t: TaskStatus) {
        when (t.phase) {
            TaskStatus.Phase.FETCHING -> enter(a, Attempt.Phase.FETCHING)
            TaskStatus.Phase.RUNNING -> enter(a, Attempt.Phase.RUNNING)
            TaskStatus.Phase.SAVING -> enter(a, Attempt.Phase.SAVING)
            TaskStatus.Phase.EXITED -> if (a.phase != Attempt.Phase.EXITED) exited(a, t.cause ?: ExitCause.ERROR)
        }
        if (a.job.image >= 0) a.machine.images.add(a.job.image)
    }

    private fun enter(a: Attempt, phase: Attempt.Phase) {
        if (a.phase == Attempt.Phase.EXITED || a.phase == phase) return
        if (a.phase == Attempt.Phase.SENT && !a.inherited) events.onAttemptBegun(a.machine)
        val ran = a.onMachine && a.phase != Attempt.Phase.FETCHING
        a.phase = phase
        if (phase == Attempt.Phase.RUNNING && a.job.image >= 0) a.machine.held.add(a.job.image)
        val runs = phase != Attempt.Phase.FETCHING
        if (runs && !ran) begun(a)
        if (!runs && ran) a.job.running--
        a.since = context.steady
    }

    private fun begun(a: Attempt) {
        val job = a.job
        job.running++
        val startMs = context.steady - a.placedAt
        val waitMs = context.now.wall - job.acceptedWall
        context.emit(Effect.Timing("start", startMs))
        if (job.running == 1 && job.doneCount == 0) context.emit(Effect.Timing("wait", waitMs))
        val task = "${job.spec.id}/${a.index} (${job.spec.workload})"
        val held = if (a.cached) ", image held" else ""
        context.debug(
            "$task runs $waitMs ms after it was accepted, $startMs ms after it was placed on ${a.machine.name}$held",
        )
    }

    private fun exited(a: Attempt, cause: ExitCause) {
        release(a)
        val job = a.job
        val completed = cause == ExitCause.DONE && !job.service
        if (completed && a.phase == Attempt.Phase.RUNNING && !a.inherited) {
            job.runs++
            job.ranS += (context.steady - a.since) / MS_PER_S
        }
        a.phase = Attempt.Phase.EXITED
        a.completed = completed
        if (completed && job.entry.state == JobState.OPEN) return completed(a)
        forgettable(a)
        when (cause) {
            ExitCause.ERROR -> failed(a)
            ExitCause.DONE -> if (job.service && job.entry.state == JobState.OPEN) ended(a)
            ExitCause.FULL -> a.machine.fullUntil = context.steady + FULL_MS
            ExitCause.BUSY, ExitCause.NO_SUCH -> job.notBefore = maxOf(job.notBefore, context.steady + RETRY_MS)
            else -> Unit
        }
    }

    /** Its completion is recorded before its machine may forget it. */
    private fun completed(a: Attempt) {
        val job = a.job
        a.machine.failedJobs.clear()
        if (!job.done.get(a.index)) {
            job.failures = 0
            jobs.taskDone(job, a.index)
        }
        job.unrecorded.add(a)
    }

    /** A replica has ended by itself: it runs again, elsewhere, and later and later if that happens again and again. */
    private fun ended(a: Attempt) {
        val job = a.job
        job.failedOn(a.machine.id, context.steady)
        job.failures = if (context.steady - a.placedAt > LASTED_MS) 0 else job.failures + 1
        if (job.failures > job.spec.tasks) {
            val wait = FAILED_MS shl minOf(job.failures / job.spec.tasks, MAX_DOUBLINGS)
            job.notBefore = context.steady + wait
        }
    }

    private fun failed(a: Attempt) {
        val job = a.job
        a.machine.failedJobs.add(job.entry.id)
        job.failedOn(a.machine.id, context.steady)
        job.failures++
        // One machine's faults should not hold a job up; a job that fails wherever it goes waits longer and longer.
        if (job.failsAround(context.steady)) {
            val wait = FAILED_MS shl minOf(job.failures / FAILURES_EACH, MAX_DOUBLINGS)
            job.notBefore = maxOf(job.notBefore, context.steady + wait)
        }
        context.debug("${job.spec.id}/${a.index} failed on ${a.machine.name}")
    }

    private fun forgettable(a: Attempt) {
        if (a.forgettable) return
        a.forgettable = true
        a.marker?.let(events::onMarkerSettled)
    }

    /** The completions of [done] in [job] are durable: the workers may forget them. */
    fun recorded(job: OpenJob, done: java.util.BitSet) {
        val iterator = job.unrecorded.iterator()
        while (iterator.hasNext()) {
            val a = iterator.next()
            if (!done.get(a.index)) continue
            iterator.remove()
            forgettable(a)
            if (a.machine.state != Machine.State.UP) settle(a)
        }
    }

    /** A task on a machine that no marker of ours explains; false if it is only to be removed. */
    private fun adopt(m: Machine, t: TaskStatus): Boolean {
        val job = jobs.find(t.jobId)?.open ?: return false
        if (t.index >= job.spec.tasks) return false
        if (t.phase == TaskStatus.Phase.EXITED && t.cause != ExitCause.DONE) return false
        if (t.phase != TaskStatus.Phase.EXITED && (job.done.get(t.index) || job.live.get(t.index) > 0)) return false
        val a = reserve(job, t.index, t.attempt, m, null)
        a.inherited = true
        a.phase = Attempt.Phase.SENT
        present(a, t)
        return true
    }

    /** A marked attempt is not started any more: its task is ready again, or over. */
    fun withdraw(a: Attempt) {
        if (!a.directPending) settle(a)
    }

    private data class Identity(val job: Int, val index: Int, val number: Long)

    private companion object {
        const val FULL_MS = 3000L
        const val RETRY_MS = 2000L
        const val FAILED_MS = 1000L
        const val LASTED_MS = 15_000L

        /** So many failures, wherever they were, double the wait, and the wait is doubled so many times at most. */
        const val FAILURES_EACH = 3
        const val MAX_DOUBLINGS = 5
    }
}
