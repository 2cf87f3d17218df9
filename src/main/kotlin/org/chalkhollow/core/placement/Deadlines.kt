package org.chalkhollow.core.placement

import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.core.jobs.ServiceLevelObjectives

/** Judges whether jobs can still end when their users expect it. Holds no state; [JobOrder] and its parts call it. */
class Deadlines(private val context: CoreContext, private val objectives: ServiceLevelObjectives) {
    /** When the job is due; [Long.MAX_VALUE] if it may take any time. */
    fun dueWallMs(job: OpenJob): Long =
        objectives.dueWall(job, context.now.wall, optimisticMs(job.spec.expectedS).toLong())

    fun hasDeadline(job: OpenJob): Boolean = dueWallMs(job) != Long.MAX_VALUE

    /** Whether work that takes [durationS] from now on may be over when the job is due. */
    fun canFinishInTime(job: OpenJob, durationS: Double): Boolean =
        context.now.wall + optimisticMs(durationS) <= dueWallMs(job)

    /**
     * Whether the job has missed what its users wait for. When more is asked than can be done, work that can still be
     * in time goes first: running what is late anyway would only make the rest late too.
     */
    fun isRunningLate(job: OpenJob): Boolean {
        if (objectives.canStartInTime(job, context.now.wall)) return false
        val dueMs = dueWallMs(job)
        return dueMs != Long.MAX_VALUE && context.now.wall + optimisticMs(job.spec.expectedS) > dueMs
    }

    /** Whether the job may be late if it starts only after [waitS] more seconds. */
    fun isAtRisk(job: OpenJob, waitS: Double): Boolean {
        val dueMs = dueWallMs(job)
        if (dueMs == Long.MAX_VALUE) return false
        return context.now.wall + (waitS + job.spec.expectedS * PESSIMISTIC_FACTOR) * MS_PER_S > dueMs
    }

    /** Whether others may go before the job for a while without making it late. */
    fun hasSlack(job: OpenJob): Boolean {
        val dueMs = dueWallMs(job)
        if (dueMs == Long.MAX_VALUE) return true
        return dueMs - context.now.wall > job.spec.expectedS * PESSIMISTIC_FACTOR * MS_PER_S + MIN_SLACK_MS
    }

    private fun optimisticMs(durationS: Double): Double = durationS * OPTIMISTIC_FACTOR * MS_PER_S

    private companion object {
        const val MIN_SLACK_MS = 20_000L

        /** Estimates are often too high; what may still do is not given up. */
        const val OPTIMISTIC_FACTOR = 0.8

        /** And some are too low: what takes this much longer should still be in time. */
        const val PESSIMISTIC_FACTOR = 1.5
    }
}
