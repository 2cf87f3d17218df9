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
    private val kindPlacedWall = HashMap<Kind, Long>()

    /** When a task of a kind was last placed in the common order, without credit. */
    private val kindPlacedInOrderWall = HashMap<Kind, Long>()

    /** CPUs that this round may still give to jobs with credit. */
    private var creditLeft = 0.0

    /** Gives credit to what has waited for too long, in a fleet of [capacity] CPUs. */
    fun begin(capacity: Double) {
        val patienceMs = (options.patienceS * MS_PER_S).toLong()
        val fairShareCpus = options.patienceShare * capacity
        for (job in jobs.open) {
            if (!isStarving(job, patienceMs)) continue
            job.credit.grant(fairShareCpus, job.credit.lastPlacedWallMs + patienceMs)
        }
        creditLeft = fairShareCpus - reconciler.creditCpus
    }

    private fun isStarving(job: OpenJob, patienceMs: Long): Boolean {
        if (!job.placeable || job.credit.cpus > 0 ||
            context.now.wall - job.credit.lastPlacedWallMs < patienceMs
        ) {
            return false
        }
        // While its like are served in the common order, it will be served there too.
        return context.now.wall - (kindPlacedInOrderWall[Kind(job)] ?: 0L) >= patienceMs
    }

    /** Whether the job goes before all that have no credit. */
    fun goesFirst(job: OpenJob): Boolean = job.credit.cpus > 0 && creditLeft > 0

    /** When a job of the same kind was last served; of jobs that go first, the longest ago is next. */
    fun lastPlacedWall(job: OpenJob): Long = kindPlacedWall[Kind(job)] ?: 0L

    /** How many tasks the credit of a job that goes first pays for now; at least one. */
    fun tasksFromCredit(job: OpenJob): Int = maxOf(1, (minOf(job.credit.cpus, creditLeft) / job.countedCpus).toInt())

    fun onPlaced(job: OpenJob, tasks: Int) {
        val now = context.now.wall
        val cpus = tasks * job.taskResources.cpus
        val kind = Kind(job)
        if (kindPlacedWall.size > MAX_KINDS) {
            kindPlacedWall.clear()
            kindPlacedInOrderWall.clear()
        }
        kindPlacedWall[kind] = now
        if (goesFirst(job)) creditLeft -= cpus else kindPlacedInOrderWall[kind] = now
        job.credit.placed(cpus, now)
    }

    private companion object {
        const val MAX_KINDS = 10_000
    }
}
