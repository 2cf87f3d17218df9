package org.chalkhollow.core.placement

import org.chalkhollow.core.attempts.AttemptReconciler
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.settings.OperatorSettings

/**
 * Keeps work from starving: nothing is put off for ever, neither by priority nor for being late or wide. What has been
 * passed over for longer than [OperatorSettings.patienceS] goes before the rest until it has been given something, the
 * kind that was served longest ago first. All such work together has [OperatorSettings.patienceShare] of the machines.
 * Called by [Placement] and the parts of its rounds.
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

    /** When one was last placed in the common order, without being owed it. */
    private val kindServedWall = HashMap<Kind, Long>()

    /** CPUs that this round may still give to jobs that are owed something. */
    private var creditLeft = 0.0

    /** Finds what has waited for too long, in a fleet of [capacity] CPUs. */
    fun begin(capacity: Double) {
        val patienceMs = (options.patienceS * MS_PER_S).toLong()
        val share = options.patienceShare * capacity
        for (job in jobs.open) {
            if (!job.placeable || job.credit.cpus > 0 ||
                context.now.wall - job.credit.lastPlacedWall < patienceMs
            ) {
                continue
            }
            if (context.now.wall - (kindServedWall[Kind(job)] ?: 0L) < patienceMs) continue // its like get their turn
            job.credit.grant(share, job.credit.lastPlacedWall + patienceMs)
        }
        creditLeft = share - reconciler.creditCpus
    }

    /** Whether the job goes before all that is not owed anything. */
    fun goesFirst(job: OpenJob): Boolean = job.credit.cpus > 0 && creditLeft > 0

    /** The lower the sooner it is the turn of the job's kind. */
    fun turn(job: OpenJob): Long = kindPlacedWall[Kind(job)] ?: 0L

    /** How many tasks of a job that goes first it is owed now; at least one. */
    fun most(job: OpenJob): Int = maxOf(1, (minOf(job.credit.cpus, creditLeft) / job.countedCpus).toInt())

    fun placed(job: OpenJob, count: Int) {
        val now = context.now.wall
        val cpus = count * job.taskResources.cpus
        val kind = Kind(job)
        if (kindPlacedWall.size > KINDS_KEPT) {
            kindPlacedWall.clear()
            kindServedWall.clear()
        }
        kindPlacedWall[kind] = now
        if (goesFirst(job)) creditLeft -= cpus else kindServedWall[kind] = now
        job.credit.placed(cpus, now)
    }

    private companion object {
        const val KINDS_KEPT = 10_000
    }
}
