package org.chalkhollow.core.operations

import org.chalkhollow.core.cluster.HoldReason
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.core.placement.Placement

/**
 * Reports which tasks that could be started are not, and why: in the metrics, in the job report, and in the log if a
 * machine has capacity for them. Called by [JobReport], for gauges, and by the controller at every tick.
 */
internal class HeldTasks(
    private val context: CoreContext,
    private val jobs: JobTable,
    private val placement: Placement,
) {
    private var nextLogAtMs = 0L

    /** When this controller last did not lead, in monotonic time. */
    private var leadingSinceMs = context.steady

    /** Why tasks of [job] that could be started are not; null if there are none or no round has held them back. */
    fun reasonOf(job: OpenJob): HoldReason? =
        when {
            job.tasks.noneReady -> HoldReason.MARKER_IN_FLIGHT.takeIf { job.hold.tasksInFlight > 0 }
            !job.placeable -> null
            context.steady - lastRoundAtMs > ROUND_OVERDUE_MS -> HoldReason.NO_ROUND
            else -> job.hold.reason
        }

    private fun heldCount(job: OpenJob): Int = if (job.tasks.noneReady) job.hold.tasksInFlight else job.tasks.readyCount

    /** The number of tasks that could be started by the reason why they are not started. */
    fun counts(): Map<HoldReason, Int> {
        val counts = HoldReason.entries.associateWithTo(LinkedHashMap()) { 0 }
        for (job in jobs.open) {
            val reason = reasonOf(job) ?: continue
            counts.merge(reason, heldCount(job), Int::plus)
        }
        return counts
    }

    /** When the last placement round of this term ran, or when the term began. */
    private val lastRoundAtMs: Long get() = maxOf(placement.lastRoundAtMs, leadingSinceMs)

    /** To be called at every tick; logs regularly while this controller leads. */
    fun tick(isLeading: Boolean) {
        if (!isLeading) leadingSinceMs = context.steady
        if (!isLeading || context.steady < nextLogAtMs) return
        nextLogAtMs = context.steady + LOG_INTERVAL_MS
        logLongestHeld()
    }

    /** Logs the jobs that were held back the longest although a machine has capacity for one of their tasks. */
    private fun logLongestHeld() =
        jobs.open
            .filter { reasonOf(it) != null && waitedMs(it) > LOG_AFTER_MS }
            .sortedByDescending(::waitedMs)
            .take(MAX_EXAMINED_JOBS)
            .filter(placement::hasMachineFor)
            .take(MAX_LOGGED_JOBS)
            .forEach(::log)

    private fun waitedMs(job: OpenJob): Long {
        val neverHeld = job.hold.reason == null && job.hold.tasksInFlight == 0
        val sinceMs = if (neverHeld) lastRoundAtMs else job.hold.sinceMs
        return context.steady - sinceMs
    }

    private fun log(job: OpenJob) {
        val reason = reasonOf(job) ?: return
        val level = if (reason.isFault) Effect.Level.WARN else Effect.Level.INFO
        val text =
            "${heldCount(job)} tasks of ${job.spec.id} have waited for ${waitedMs(job) / MS_IN_S} s although a " +
                "machine has capacity for one: ${reason.text}"
        context.emit(Effect.LogEvent(level, text))
    }

    private companion object {
        /** Several times the longest interval between rounds of a leader that is not overloaded. */
        const val ROUND_OVERDUE_MS = 10_000L
        const val LOG_AFTER_MS = 15_000L
        const val LOG_INTERVAL_MS = 15_000L

        /** Bounds the search for machines with capacity. */
        const val MAX_EXAMINED_JOBS = 20
        const val MAX_LOGGED_JOBS = 3
    }
}
