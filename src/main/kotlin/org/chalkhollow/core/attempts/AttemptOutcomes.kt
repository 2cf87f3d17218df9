package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.model.ExitCause
import org.chalkhollow.model.JobState
import java.util.BitSet

/**
 * Decides what the exit of an attempt means: the task is done, or it is retried at once or after a backoff. The worker
 * may forget a completed attempt only after its completion is durable. Called by [AttemptReconciler].
 */
internal class AttemptOutcomes(private val context: CoreContext, private val reservations: AttemptReservations) {
    /** The machine lists [attempt] as exited for the first time, with [cause]. */
    fun onExit(attempt: Attempt, cause: ExitCause) {
        reservations.release(attempt)
        val job = attempt.job
        val completed = cause == ExitCause.DONE && !job.service
        if (completed) recordRunTime(attempt)
        attempt.exited(completed)
        if (completed && job.entry.state == JobState.OPEN) return onCompleted(attempt)
        reservations.outcomeRecorded(attempt)
        applyBackoff(attempt, cause)
    }

    /** The run time is known only if this leader observed the run from start to end. */
    private fun recordRunTime(attempt: Attempt) {
        if (attempt.phase != Attempt.Phase.RUNNING || attempt.inherited) return
        attempt.job.runTimes.add((context.steady - attempt.progressAtMs) / MS_PER_S)
    }

    /** Marks the task as done. The worker may forget the attempt only after the completion is durable. */
    private fun onCompleted(attempt: Attempt) {
        val job = attempt.job
        attempt.machine.failedJobs.clear()
        if (!job.progress.isDone(attempt.index)) {
            job.backoff.taskCompleted()
            job.completeTask(attempt.index, context.steady)
        }
        job.unrecordedCompletions.add(attempt)
    }

    private fun applyBackoff(attempt: Attempt, cause: ExitCause) {
        val job = attempt.job
        when (cause) {
            ExitCause.ERROR -> onFailed(attempt)
            ExitCause.DONE -> if (job.service && job.entry.state == JobState.OPEN) onReplicaEnded(attempt)
            ExitCause.NO_FREE_CAPACITY -> attempt.machine.fullUntilMs = context.steady + FULL_MACHINE_BACKOFF_MS
            ExitCause.OTHER_ATTEMPT_PRESENT, ExitCause.UNKNOWN_TASK ->
                job.backoff.pauseUntil(context.steady + REJECTED_START_BACKOFF_MS)
            ExitCause.STOPPED -> Unit
        }
    }

    private fun onReplicaEnded(attempt: Attempt) {
        val job = attempt.job
        val placedForMs = context.steady - attempt.placedAtMs
        job.backoff.replicaEnded(attempt.machine.id, context.steady, placedForMs, job.spec.tasks)
    }

    private fun onFailed(attempt: Attempt) {
        val job = attempt.job
        attempt.machine.failedJobs.add(job.entry.index)
        job.backoff.taskFailed(attempt.machine.id, context.steady)
        context.debug(
            "task ${job.spec.id}/${attempt.index} failed on ${attempt.machine.name}; its job avoids it for now",
        )
    }

    /** The completions of the tasks [done] of [job] are durable: workers may forget their attempts. */
    fun onCompletionsRecorded(job: OpenJob, done: BitSet) {
        val iterator = job.unrecordedCompletions.iterator()
        while (iterator.hasNext()) {
            val attempt = iterator.next()
            if (!done.get(attempt.index)) continue
            iterator.remove()
            reservations.outcomeRecorded(attempt)
            if (attempt.machine.state != Machine.State.UP) reservations.resolve(attempt)
        }
    }

    private companion object {
        /** A machine whose worker rejected a start for lack of capacity gets no tasks for this long. */
        const val FULL_MACHINE_BACKOFF_MS = 3000L

        /** A job is not placed for this long after a worker rejected a start of it for any other reason. */
        const val REJECTED_START_BACKOFF_MS = 2000L
    }
}
