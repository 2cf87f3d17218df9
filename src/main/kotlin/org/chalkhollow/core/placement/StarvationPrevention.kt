package org.chalkhollow.core.placement

import org.chalkhollow.core.attempts.AttemptReconciler
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.settings.OperatorSettings

/**
 * Owns the credit of jobs that would starve: nothing is put off for ever, neither by priority nor for being late or
 * wide. A job that was passed over for longer than [OperatorSettings.patienceS] gets credit, and goes before the rest
 * until the credit is used, the kind of job that was served longest ago first. The fair share of all jobs with credit
 * together is [OperatorSettings.patienceShare] of the machines. Called by [Placement] and the parts of its rounds.
 */
class StarvationPrevention(
    private val context: CoreContext,
    private val jobs: JobTable,
    private val reconciler: AttemptReconciler,
    private val options: OperatorSettings,
) {
    /** Jobs that users would compare: of one class and team, and of about one size. */
    private data class Kind(val workload: String, val team: Int, val size: Int) {
        constructor(job: OpenJob) : this(job.spec.workload, job.team, Integer.numberOfLeadingZeros(job.spec.tasks))
    }

    /**
     * When a task of a kind was last placed: what a flood of one kind leaves over is shared among kinds, not among its
     * jobs.
     */
    private val lastPlacedWallMs = HashMap<Kind, Long>()

    /** When a task of a kind was last placed in the common order, without credit. */
    private val lastPlacedWithoutCreditWallMs = HashMap<Kind, Long>()

    /** CPUs that this round may still give to jobs with credit. */
    private var creditCpusLeft = 0.0

    /** Gives credit to what has waited for too long, in a fleet of [fleetCpus] CPUs. */
    fun begin(fleetCpus: Double) {
        val maxPassedOverMs = (options.patienceS * MS_PER_S).toLong()
        val fairShareCpus = options.patienceShare * fleetCpus
        for (job in jobs.open) {
            if (!isStarving(job, maxPassedOverMs)) continue
            job.credit.grant(fairShareCpus, job.credit.lastPlacedWall + maxPassedOverMs)
        }
        creditCpusLeft = fairShareCpus - reconciler.creditCpus
    }

    private fun isStarving(job: OpenJob, maxPassedOverMs: Long): Boolean {
        if (!job.placeable || job.credit.cpus > 0 ||
            context.now.wall - job.credit.lastPlacedWall < maxPassedOverMs
        ) {
            return false
        }
        // While its like are served in the common order, it will be served there too.
        return context.now.wall - (lastPlacedWithoutCreditWallMs[Kind(job)] ?: 0L) >= maxPassedOverMs
    }

    /** Whether the job goes before all that have no credit. */
    fun isServedFirst(job: OpenJob): Boolean = job.credit.cpus > 0 && creditCpusLeft > 0

    /** When a job of the same kind was last served; of jobs that go first, the longest ago is next. */
    fun kindLastPlacedWallMs(job: OpenJob): Long = lastPlacedWallMs[Kind(job)] ?: 0L

    /** How many tasks the credit of a job that goes first pays for now; at least one. */
    fun tasksFromCredit(job: OpenJob): Int =
        maxOf(1, (minOf(job.credit.cpus, creditCpusLeft) / job.countedCpus).toInt())

    fun onPlaced(job: OpenJob, tasks: Int) {
        val now = context.now.wall
        val cpus = tasks * job.taskResources.cpus
        val kind = Kind(job)
        if (lastPlacedWallMs.size > MAX_KINDS) {
            lastPlacedWallMs.clear()
            lastPlacedWithoutCreditWallMs.clear()
        }
        lastPlacedWallMs[kind] = now
        if (isServedFirst(job)) creditCpusLeft -= cpus else lastPlacedWithoutCreditWallMs[kind] = now
        job.credit.placed(cpus, now)
    }

    private companion object {
        const val MAX_KINDS = 10_000
    }
}
