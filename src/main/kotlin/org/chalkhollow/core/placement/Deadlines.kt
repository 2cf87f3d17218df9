package org.chalkhollow.core.placement

import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.core.jobs.ServiceLevelObjectives

/** Judges whether jobs can still end when their users expect it. Holds no state; [JobOrder] and its parts call it. */
class Deadlines(private val context: CoreContext, private val objectives: ServiceLevelObjectives) {
    /** When the job is due; [Long.MAX_VALUE] if it may take any time. */
    fun dueWall(job: OpenJob): Long =
        objectives.dueWallMs(job, context.now.wall, optimisticMs(job.spec.expectedS).toLong())

    fun hasDeadline(job: OpenJob): Boolean = dueWall(job) != Long.MAX_VALUE

    /** Whether work that takes [seconds] from now on may be over when the job is due. */
    fun mayEndInTime(job: OpenJob, seconds: Double): Boolean = context.now.wall + optimisticMs(seconds) <= dueWall(job)

    /**
     * Whether the job has missed what its users wait for. When more is asked than can be done, work that can still be
     * in time goes first: running what is late anyway would only make the rest late too.
     */
    fun isMissed(job: OpenJob): Boolean {
        if (objectives.canStartInTime(job, context.now.wall)) return false
        val due = dueWall(job)
        return due != Long.MAX_VALUE && context.now.wall + optimisticMs(job.spec.expectedS) > due
    }

    /** Whether the job may be late if it starts only after [waitS] more seconds. */
    fun isAtRisk(job: OpenJob, waitS: Double): Boolean {
        val due = dueWall(job)
        if (due == Long.MAX_VALUE) return false
        return context.now.wall + (waitS + job.spec.expectedS * PESSIMISTIC_FACTOR) * MS_PER_S > due
    }

    /** Whether others may go before the job for a while without making it late. */
    fun hasSlack(job: OpenJob): Boolean {
        val due = dueWall(job)
        if (due == Long.MAX_VALUE) return true
        return due - context.now.wall > job.spec.expectedS * PESSIMISTIC_FACTOR * MS_PER_S + SLACK_MS
    }

    private fun optimisticMs(seconds: Double): Double = seconds * OPTIMISTIC_FACTOR * MS_PER_S

    private companion object {
        const val SLACK_MS = 20_000L

        /** Estimates are often too high; what may still do is not given up. */
        const val OPTIMISTIC_FACTOR = 0.8

        /** And some are too low: what takes this much longer should still be in time. */
        const val PESSIMISTIC_FACTOR = 1.5
    }
}
