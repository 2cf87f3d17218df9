package org.chalkhollow.core.placement

import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.core.jobs.ServiceLevelObjectives

/** Estimates whether jobs can still meet their deadlines. Stateless; called by [JobOrder] and [DeferredJobs]. */
class Deadlines(private val context: CoreContext, private val objectives: ServiceLevelObjectives) {
    /**
     * The first of the job's deadlines that it can still meet, or the last one if it can meet none, in wall-clock time;
     * [Long.MAX_VALUE] without a deadline.
     */
    fun dueWallMs(job: OpenJob): Long =
        objectives.dueWallMs(job, context.now.wall, optimisticMs(job.spec.expectedS).toLong())

    fun hasDeadline(job: OpenJob): Boolean = dueWallMs(job) != Long.MAX_VALUE

    /** Whether work that takes an estimated [durationS] seconds from now on can meet the job's deadline. */
    fun canFinishInTime(job: OpenJob, durationS: Double): Boolean =
        context.now.wall + optimisticMs(durationS) <= dueWallMs(job)

    /**
     * Whether the job will miss its deadline even by the optimistic estimate; false while it can meet a start
     * objective. Under overload, jobs that can still be in time are served first: a late job served earlier makes
     * others late too.
     */
    fun isRunningLate(job: OpenJob): Boolean {
        if (objectives.canStartInTime(job, context.now.wall)) return false
        val dueMs = dueWallMs(job)
        return dueMs != Long.MAX_VALUE && context.now.wall + optimisticMs(job.spec.expectedS) > dueMs
    }

    /** Whether the job may miss its deadline if it starts [waitS] seconds from now. */
    fun isAtRisk(job: OpenJob, waitS: Double): Boolean {
        val dueMs = dueWallMs(job)
        if (dueMs == Long.MAX_VALUE) return false
        return context.now.wall + (waitS + job.spec.expectedS * PESSIMISTIC_FACTOR) * MS_PER_S > dueMs
    }

    /** Whether the job can wait for others for a while and still meet its deadline. */
    fun hasSlack(job: OpenJob): Boolean {
        val dueMs = dueWallMs(job)
        if (dueMs == Long.MAX_VALUE) return true
        return dueMs - context.now.wall > job.spec.expectedS * PESSIMISTIC_FACTOR * MS_PER_S + MIN_SLACK_MS
    }

    private fun optimisticMs(durationS: Double): Double = durationS * OPTIMISTIC_FACTOR * MS_PER_S

    private companion object {
        const val MIN_SLACK_MS = 20_000L

        /** Run time estimates are often too high: a job is late only if this fraction of the estimate is too long. */
        const val OPTIMISTIC_FACTOR = 0.8

        /** Some run time estimates are too low: a job that takes this many times as long should be in time. */
        const val PESSIMISTIC_FACTOR = 1.5
    }
}
