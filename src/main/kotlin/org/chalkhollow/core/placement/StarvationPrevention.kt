package org.chalkhollow.core.placement

import org.chalkhollow.core.attempts.Allocation
import org.chalkhollow.core.attempts.AttemptReconciler
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.settings.OperatorSettings

/**
 * Owns the credit of jobs that would starve: no job is deferred for ever because of its priority, its lateness or its
 * size. A job that was passed over for longer than [OperatorSettings.maxPassedOverS] gets credit, and is served before
 * jobs without credit until it has used the credit up. Among jobs with credit, the kind served longest ago comes first.
 * All of them together get [OperatorSettings.creditCpuFraction] of the fleet's CPUs. Called by [Placement] and the
 * parts of its rounds.
 */
class StarvationPrevention(
    private val context: CoreContext,
    private val jobs: JobTable,
    private val reconciler: AttemptReconciler,
    private val options: OperatorSettings,
) {
    /** Jobs that users would compare: of one job class and team, and with similar numbers of tasks. */
    private data class Kind(val workload: String, val team: Int, val sizeClass: Int) {
        constructor(job: OpenJob) : this(job.spec.workload, job.team, Integer.numberOfLeadingZeros(job.spec.tasks))
    }

    /**
     * When a task of a kind was last placed, in wall-clock time. Kept by kind, so that capacity left by a burst of one
     * kind is shared among kinds and not among jobs.
     */
    private val lastPlacedWallMs = HashMap<Kind, Long>()

    /** When a task of a kind was last placed without credit, in wall-clock time. */
    private val lastPlacedWithoutCreditWallMs = HashMap<Kind, Long>()

    /** CPUs that this round may still allocate to jobs with credit. */
    private var creditCpusLeft = 0.0

    /** Grants credit to jobs that were passed over for too long, in a fleet of [fleetCpus] CPUs. */
    fun begin(fleetCpus: Double) {
        val maxPassedOverMs = (options.maxPassedOverS * MS_PER_S).toLong()
        val fairShareCpus = options.creditCpuFraction * fleetCpus
        for (job in jobs.open) {
            if (!isStarving(job, maxPassedOverMs)) continue
            job.credit.grant(fairShareCpus, job.credit.lastPlacedWallMs + maxPassedOverMs)
        }
        creditCpusLeft = fairShareCpus - reconciler.creditCpus
    }

    private fun isStarving(job: OpenJob, maxPassedOverMs: Long): Boolean {
        if (!job.placeable || job.credit.cpus > 0 ||
            context.now.wall - job.credit.lastPlacedWallMs < maxPassedOverMs
        ) {
            return false
        }
        // While jobs of its kind are placed without credit, this one will be, too.
        return context.now.wall - (lastPlacedWithoutCreditWallMs[Kind(job)] ?: 0L) >= maxPassedOverMs
    }

    /** Whether the job has credit to use in this round, so that it is served before all jobs without. */
    fun isServedFirst(job: OpenJob): Boolean = job.credit.cpus > 0 && creditCpusLeft > 0

    /** When a job of the same kind was last placed; 0 if that is not known. Of jobs with credit, the lowest is next. */
    fun kindLastPlacedWallMs(job: OpenJob): Long = lastPlacedWallMs[Kind(job)] ?: 0L

    /** How many tasks the credit of a job covers now; at least one. */
    fun tasksFromCredit(job: OpenJob): Int =
        maxOf(1, (minOf(job.credit.cpus, creditCpusLeft) / job.countedCpus).toInt())

    /** This round has allocated [tasks] tasks of [job]. */
    fun onAllocated(job: OpenJob, tasks: Int) {
        if (isServedFirst(job)) creditCpusLeft -= tasks * job.taskResources.cpus
    }

    /**
     * The tasks of [allocation] may be started. Only now do they use up credit and end the job's wait. An earlier
     * version counted them when they were allocated, and a job whose tasks were never dispatched got no credit.
     */
    fun onDispatched(allocation: Allocation) {
        val job = allocation.job
        val now = context.now.wall
        val kind = Kind(job)
        if (lastPlacedWallMs.size > MAX_KINDS) {
            lastPlacedWallMs.clear()
            lastPlacedWithoutCreditWallMs.clear()
        }
        lastPlacedWallMs[kind] = now
        if (!allocation.fromCredit) lastPlacedWithoutCreditWallMs[kind] = now
        job.credit.placed(allocation.tasks.size * job.taskResources.cpus, now)
        if (job.tasks.noneReady) job.credit.allPlaced(now)
    }

    private companion object {
        const val MAX_KINDS = 10_000
    }
}
