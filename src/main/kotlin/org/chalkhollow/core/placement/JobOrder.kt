package org.chalkhollow.core.placement

import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.core.jobs.Quotas
import org.chalkhollow.core.jobs.ServiceLevelObjectives
import org.chalkhollow.model.Priority

/**
 * Owns the order in which a round serves jobs. Jobs with credit come first, the others are sorted by priority. Within a
 * priority, jobs that can still start in time come first, then jobs that can finish in time (those within a guarantee
 * before the others), then jobs that are running late. [begin] computes guarantees and deferred jobs once a round.
 * Called by [Placement] and the parts of its rounds.
 */
class JobOrder(
    private val context: CoreContext,
    private val jobs: JobTable,
    private val quotas: Quotas,
    fleet: Fleet,
    private val objectives: ServiceLevelObjectives,
    private val starvation: StarvationPrevention,
) {
    private val deadlines = Deadlines(context, objectives)
    private val deferred = DeferredJobs(jobs, fleet, deadlines)

    /** Jobs that fit into their team's guarantee together with the team's unfinished jobs accepted earlier. */
    private val guaranteed = HashSet<OpenJob>()

    /** CPUs of all machines in this round. */
    val fleetCpus: Double get() = deferred.fleetCpus

    fun begin() {
        updateGuaranteed()
        deferred.update()
    }

    private fun updateGuaranteed() {
        guaranteed.clear()
        val cpusByTeam = HashMap<Int, Double>()
        val gpusByTeam = HashMap<Int, Double>()
        for (job in jobs.open.sortedBy { it.acceptedWallMs }) {
            if (job.cancelling || job.complete) continue
            val tasks = job.spec.tasks
            val cpus = cpusByTeam.merge(job.team, job.taskResources.cpus * tasks, Double::plus) ?: 0.0
            val gpus = gpusByTeam.merge(job.team, job.taskResources.gpus * tasks, Double::plus) ?: 0.0
            if (quotas.withinGuarantee(job.team, cpus, gpus)) guaranteed.add(job)
        }
    }

    /** Jobs with ready tasks that are not in backoff, in the order in which they are served. */
    fun pendingJobs(): List<OpenJob> {
        val pending = jobs.open.filter { it.placeable && !it.cancelling && it.backoff.notBeforeMs <= context.steady }
        return pending.sortedWith(
            compareBy(
                { if (starvation.isServedFirst(it)) -1 else it.spec.priority.ordinal },
                { if (starvation.isServedFirst(it)) 0 else urgency(it).ordinal },
                { if (starvation.isServedFirst(it)) starvation.kindLastPlacedWallMs(it) else deadlines.dueWallMs(it) },
                { if (starvation.isServedFirst(it)) it.credit.sinceWallMs else it.acceptedWallMs },
                { it.entry.index },
            ),
        )
    }

    /** Whether the two jobs may be served in either order. */
    fun haveSameRank(first: OpenJob, second: OpenJob): Boolean {
        if (starvation.isServedFirst(first) || starvation.isServedFirst(second)) return false
        if (first.spec.priority != second.spec.priority) return false
        if (objectives.awaitsPromptStart(first) != objectives.awaitsPromptStart(second)) return false
        val urgency = urgency(first)
        return urgency == urgency(second) && (deadlines.hasSlack(first) || urgency == Urgency.LATE_OR_DEFERRED)
    }

    fun isWithinGuarantee(job: OpenJob): Boolean = job in guaranteed

    /** Whether the job is within its team's guarantee and a start now meets the guarantee's objective. */
    fun canMeetGuarantee(job: OpenJob): Boolean =
        isWithinGuarantee(job) && objectives.canMeetGuaranteeObjective(job, context.now.wall)

    /** Whether the job may not use the headroom for urgent jobs, see [UrgentHeadroom]. */
    fun mustLeaveUrgentHeadroom(job: OpenJob): Boolean {
        if (job.spec.priority < Priority.STANDARD || objectives.awaitsPromptStart(job)) return false
        return !isWithinGuarantee(job) && !mayMissObjective(job, 0.0) && !job.credit.hasWaitedLong(context.now.wall)
    }

    /** Whether the job may start or finish too late if it waits [waitS] more seconds. */
    fun mayMissObjective(job: OpenJob, waitS: Double): Boolean {
        if (objectives.awaitsPromptStart(job) || isWithinGuarantee(job)) return true
        return deadlines.isAtRisk(job, waitS)
    }

    /** How urgent a job is among those of its priority; the most urgent value is first. */
    private enum class Urgency { CAN_START_IN_TIME, WITHIN_GUARANTEE, NORMAL, LATE_OR_DEFERRED }

    /**
     * Jobs that can still meet a start objective are the most urgent, then jobs that can finish in time, those within a
     * guarantee before the others.
     */
    private fun urgency(job: OpenJob): Urgency =
        when {
            objectives.canStartInTime(job, context.now.wall) -> Urgency.CAN_START_IN_TIME
            canMeetGuarantee(job) -> Urgency.CAN_START_IN_TIME
            objectives.isStartDeadlineNear(job, context.now.wall) -> Urgency.CAN_START_IN_TIME
            deadlines.isRunningLate(job) || job in deferred -> Urgency.LATE_OR_DEFERRED
            isWithinGuarantee(job) -> Urgency.WITHIN_GUARANTEE
            else -> Urgency.NORMAL
        }
}
