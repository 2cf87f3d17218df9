package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.model.ExitCause
import org.chalkhollow.model.JobState
import java.util.BitSet

/**
 * Decides what the exit of an attempt means: the task is done, or it is tried again, at once or after a backoff. A
 * completion is recorded before its machine may forget it. Called by [AttemptReconciler].
 */
internal class AttemptOutcomes(
    private val context: CoreContext,
    private val jobs: JobTable,
    private val reservations: AttemptReservations,
) {
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
        attempt.job.runs++
        attempt.job.ranS += (context.steady - attempt.progressAt) / MS_PER_S
    }

    /** Its completion is recorded before its machine may forget it. */
    private fun onCompleted(attempt: Attempt) {
        val job = attempt.job
        attempt.machine.failedJobs.clear()
        if (!job.done.get(attempt.index)) {
            job.failures = 0
            jobs.taskDone(job, attempt.index)
        }
        job.unrecorded.add(attempt)
    }

    private fun retryLater(attempt: Attempt, cause: ExitCause) {
        val job = attempt.job
        when (cause) {
            ExitCause.ERROR -> onFailed(attempt)
            ExitCause.DONE -> if (job.service && job.entry.state == JobState.OPEN) onReplicaEnded(attempt)
            ExitCause.FULL -> attempt.machine.fullUntil = context.steady + FULL_MACHINE_MS
            ExitCause.BUSY, ExitCause.NO_SUCH ->
                job.notBefore = maxOf(job.notBefore, context.steady + REFUSED_START_MS)
            ExitCause.HALTED -> Unit
        }
    }

    /** A replica has ended by itself: it runs again, elsewhere, and later and later if that happens again and again. */
    private fun onReplicaEnded(attempt: Attempt) {
        val job = attempt.job
        job.failedOn(attempt.machine.id, context.steady)
        val ranForLong = context.steady - attempt.placedAt > STABLE_REPLICA_MS
        job.failures = if (ranForLong) 0 else job.failures + 1
        if (job.failures > job.spec.tasks) {
            job.notBefore = context.steady + backoffMs(job.failures / job.spec.tasks)
        }
    }

    private fun onFailed(attempt: Attempt) {
        val job = attempt.job
        attempt.machine.failedJobs.add(job.entry.id)
        job.failedOn(attempt.machine.id, context.steady)
        job.failures++
        // One machine's faults should not hold a job up; a job that fails wherever it goes waits longer and longer.
        if (job.failsAround(context.steady)) {
            val backoffMs = backoffMs(job.failures / FAILURES_PER_DOUBLING)
            job.notBefore = maxOf(job.notBefore, context.steady + backoffMs)
        }
        context.debug("${job.spec.id}/${attempt.index} failed on ${attempt.machine.name}")
    }

    private fun backoffMs(doublings: Int): Long = FIRST_BACKOFF_MS shl minOf(doublings, MAX_DOUBLINGS)

    /** The completions of [done] in [job] are durable: the workers may forget them. */
    fun onRecorded(job: OpenJob, done: BitSet) {
        val iterator = job.unrecorded.iterator()
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
        const val FIRST_BACKOFF_MS = 1000L

        /** A replica that lasted longer than this does not count as one that fails again and again. */
        const val STABLE_REPLICA_MS = 15_000L

        /** So many failures, wherever they were, double the wait, and the wait is doubled so many times at most. */
        const val FAILURES_PER_DOUBLING = 3
        const val MAX_DOUBLINGS = 5
    }
}
