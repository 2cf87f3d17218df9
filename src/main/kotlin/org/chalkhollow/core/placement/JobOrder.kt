package org.chalkhollow.core.placement

import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.core.jobs.Quotas
import org.chalkhollow.core.jobs.ServiceLevelObjectives
import org.chalkhollow.model.Priority

/**
 * Owns the order in which a round serves the jobs: priority first; within it work whose start is still in time, then
 * what can be finished in time, guarantees first, then what is late anyway. Reads the jobs as [begin] found them, and
 * is called by [Placement] and the parts of its rounds.
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

    /** Jobs that fit into their team's guarantee together with the team's earlier unfinished ones. */
    private val guaranteed = HashSet<OpenJob>()

    /** CPUs of all machines in this round. */
    val capacity: Double get() = deferred.capacity

    fun begin() {
        findGuaranteed()
        deferred.update()
    }

    private fun findGuaranteed() {
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

    /** Jobs with ready tasks, most urgent first. */
    fun waiting(): List<OpenJob> {
        val waiting = jobs.open.filter { it.placeable && !it.cancelling && it.backoff.notBeforeMs <= context.steady }
        return waiting.sortedWith(
            compareBy(
                { if (starvation.goesFirst(it)) -1 else it.spec.priority.ordinal },
                { if (starvation.goesFirst(it)) 0 else urgency(it).ordinal },
                { if (starvation.goesFirst(it)) starvation.lastPlacedWall(it) else deadlines.dueWall(it) },
                { if (starvation.goesFirst(it)) it.credit.sinceWallMs else it.acceptedWallMs },
                { it.entry.index },
            ),
        )
    }

    /** Whether neither of two jobs has to go before the other. */
    fun areEqual(first: OpenJob, second: OpenJob): Boolean {
        if (starvation.goesFirst(first) || starvation.goesFirst(second)) return false
        if (first.spec.priority != second.spec.priority) return false
        if (objectives.awaitsPromptStart(first) != objectives.awaitsPromptStart(second)) return false
        val urgency = urgency(first)
        return urgency == urgency(second) && (deadlines.hasSlack(first) || urgency == Urgency.LATE)
    }

    fun withinGuarantee(job: OpenJob): Boolean = job in guaranteed

    /** Whether the job is within its team's guarantee, and users would still see it start in time. */
    fun freshGuarantee(job: OpenJob): Boolean =
        withinGuarantee(job) && objectives.guaranteeStartsInTime(job, context.now.wall)

    /** Whether the job leaves the headroom free that is reserved for urgent work to come. */
    fun leavesHeadroom(job: OpenJob): Boolean {
        if (job.spec.priority < Priority.STANDARD || objectives.awaitsPromptStart(job)) return false
        return !withinGuarantee(job) && !isPressing(job, 0.0) && !job.credit.hasWaitedLong(context.now.wall)
    }

    /** Whether a job that waits for [waitS] more seconds would start or end too late. */
    fun isPressing(job: OpenJob, waitS: Double): Boolean {
        if (objectives.awaitsPromptStart(job) || withinGuarantee(job)) return true
        return deadlines.isAtRisk(job, waitS)
    }

    /** How urgent a job is among those of its priority. */
    private enum class Urgency { IN_TIME_TO_START, GUARANTEED, COMMON, LATE }

    /**
     * Work whose start its users still wait for goes first, then what can be done in time, the teams' guarantees before
     * the rest.
     */
    private fun urgency(job: OpenJob): Urgency =
        when {
            objectives.canStartInTime(job, context.now.wall) -> Urgency.IN_TIME_TO_START
            freshGuarantee(job) -> Urgency.IN_TIME_TO_START
            objectives.startDeadlineNear(job, context.now.wall) -> Urgency.IN_TIME_TO_START
            deadlines.isMissed(job) || job in deferred -> Urgency.LATE
            withinGuarantee(job) -> Urgency.GUARANTEED
            else -> Urgency.COMMON
        }
}
