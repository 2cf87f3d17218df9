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
 * Decides what the exit of an attempt means: the task is done, or it is tried again, at once or after a backoff. A
 * completion is recorded before its machine may forget it. Called by [AttemptReconciler].
 */
internal class AttemptOutcomes(private val context: CoreContext, private val reservations: AttemptReservations) {
    /** [attempt] has exited for [cause], as its machine says for the first time. */
    fun onExit(attempt: Attempt, cause: ExitCause) {
        reservations.release(attempt)
        val job = attempt.job
        val completed = cause == ExitCause.DONE && !job.service
        if (completed) noteRunTime(attempt)
        attempt.exited(completed)
        if (completed && job.entry.state == JobState.OPEN) return onCompleted(attempt)
        reservations.outcomeRecorded(attempt)
        retryLater(attempt, cause)
    }

    /** Only of runs that this leader saw from begin to end is it known how long they took. */
    private fun noteRunTime(attempt: Attempt) {
        if (attempt.phase != Attempt.Phase.RUNNING || attempt.inherited) return
        attempt.job.runTimes.add((context.steady - attempt.progressAtMs) / MS_PER_S)
    }

    /** Its completion is recorded before its machine may forget it. */
    private fun onCompleted(attempt: Attempt) {
        val job = attempt.job
        attempt.machine.failedJobs.clear()
        if (!job.progress.isDone(attempt.index)) {
            job.backoff.taskCompleted()
            job.completeTask(attempt.index, context.steady)
        }
        job.unrecordedCompletions.add(attempt)
    }

    private fun retryLater(attempt: Attempt, cause: ExitCause) {
        val job = attempt.job
        when (cause) {
            ExitCause.ERROR -> onFailed(attempt)
            ExitCause.DONE -> if (job.service && job.entry.state == JobState.OPEN) onReplicaEnded(attempt)
            ExitCause.FULL -> attempt.machine.fullUntilMs = context.steady + FULL_MACHINE_MS
            ExitCause.BUSY, ExitCause.NO_SUCH -> job.backoff.pauseUntil(context.steady + REFUSED_START_MS)
            ExitCause.HALTED -> Unit
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
        context.debug("${job.spec.id}/${attempt.index} failed on ${attempt.machine.name}")
    }

    /** The completions of [done] in [job] are durable: the workers may forget them. */
    fun onRecorded(job: OpenJob, done: BitSet) {
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
        /** A machine that had no room for a start is given none for so long. */
        const val FULL_MACHINE_MS = 3000L

        /** A job whose start a worker refused waits so long. */
        const val REFUSED_START_MS = 2000L
    }
}
