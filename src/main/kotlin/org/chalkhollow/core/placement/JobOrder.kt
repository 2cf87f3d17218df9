package org.chalkhollow.core.placement

import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.core.jobs.Quotas
import org.chalkhollow.core.jobs.ServiceLevelObjectives
import org.chalkhollow.model.Priority
import java.util.PriorityQueue

/**
 * Owns the order in which a round serves the jobs: priority first; within it work whose start is still in time, then
 * what can be finished in time, guarantees first, then what is late anyway. Reads the jobs as [begin] found them, and
 * is called by [Placement] and the parts of its rounds.
 */
class JobOrder(
    private val context: CoreContext,
    private val jobs: JobTable,
    private val quotas: Quotas,
    private val fleet: Fleet,
    private val objectives: ServiceLevelObjectives,
    private val starvation: StarvationPrevention,
) {
    /** CPUs by machine type in this round; all under [ALL_TYPES]. */
    private val poolCpus = HashMap<Int, Double>()

    /** Jobs that fit into their team's guarantee together with the team's earlier unfinished ones. */
    private val guaranteed = HashSet<OpenJob>()

    /** Jobs that cannot all be in time together with the others, chosen so that as few as possible are late. */
    private val givenUp = HashSet<OpenJob>()

    /** CPUs of all machines in this round. */
    val capacity: Double get() = cpusOf(ALL_TYPES)

    fun begin() {
        poolCpus.clear()
        findGuaranteed()
        findGivenUp()
    }

    private fun cpusOf(type: Int): Double = poolCpus.getOrPut(type) { fleet.cpus(type) }

    /** Jobs with ready tasks, most urgent first. */
    fun waiting(): List<OpenJob> {
        val waiting = jobs.open.filter { it.placeable && !it.cancelling && it.backoff.notBefore <= context.steady }
        return waiting.sortedWith(
            compareBy(
                { if (starvation.goesFirst(it)) -1 else it.spec.priority.ordinal },
                { if (starvation.goesFirst(it)) 0 else standing(it).ordinal },
                { if (starvation.goesFirst(it)) starvation.turn(it) else due(it) },
                { if (starvation.goesFirst(it)) it.credit.sinceWall else it.acceptedWall },
                { it.entry.index },
            ),
        )
    }

    /** Whether neither of two jobs has to go before the other. */
    fun alike(a: OpenJob, b: OpenJob): Boolean {
        if (starvation.goesFirst(a) || starvation.goesFirst(b) || a.spec.priority != b.spec.priority) return false
        if (objectives.awaitsPromptStart(a) != objectives.awaitsPromptStart(b)) return false
        return standing(a) == standing(b) && (canWait(a) || standing(a) == Candidate.LATE)
    }

    fun withinGuarantee(job: OpenJob): Boolean = job in guaranteed

    /** Whether the job is within its team's guarantee, and users would still see it start in time. */
    fun freshGuarantee(job: OpenJob): Boolean =
        withinGuarantee(job) && objectives.guaranteeStartsInTime(job, context.now.wall)

    /** Whether the job leaves the room free that is kept for urgent work to come. */
    fun yields(job: OpenJob): Boolean {
        if (job.spec.priority < Priority.STANDARD || objectives.awaitsPromptStart(job)) return false
        return !withinGuarantee(job) && !pressing(job, 0.0) && !job.credit.waitsLong(context.now.wall)
    }

    /** Whether a job that waits for [waitS] more seconds would start or end too late. */
    fun pressing(job: OpenJob, waitS: Double): Boolean {
        if (objectives.awaitsPromptStart(job) || withinGuarantee(job)) return true
        val due = due(job)
        if (due == Long.MAX_VALUE) return false
        return context.now.wall + (waitS + job.spec.expectedS * LATE_FACTOR) * MS_PER_S > due
    }

    private fun findGuaranteed() {
        guaranteed.clear()
        val cpus = HashMap<Int, Double>()
        val gpus = HashMap<Int, Double>()
        for (job in jobs.open.sortedBy { it.acceptedWall }) {
            if (job.cancelling || job.complete) continue
            val c = cpus.merge(job.team, job.taskResources.cpus * job.spec.tasks, Double::plus) ?: 0.0
            val g = gpus.merge(job.team, job.taskResources.gpus * job.spec.tasks, Double::plus) ?: 0.0
            if (quotas.withinGuarantee(job.team, c, g)) guaranteed.add(job)
        }
    }

    /** Where a job stands among those of its priority. */
    private enum class Candidate { IN_TIME_TO_START, GUARANTEED, COMMON, LATE }

    /**
     * Work whose start its users still wait for goes first, then what can be done in time, the teams' guarantees before
     * the rest.
     */
    private fun standing(job: OpenJob): Candidate =
        when {
            objectives.canStartInTime(job, context.now.wall) -> Candidate.IN_TIME_TO_START
            freshGuarantee(job) -> Candidate.IN_TIME_TO_START
            objectives.startDeadlineNear(job, context.now.wall) -> Candidate.IN_TIME_TO_START
            hopeless(job) || job in givenUp -> Candidate.LATE
            withinGuarantee(job) -> Candidate.GUARANTEED
            else -> Candidate.COMMON
        }

    /** Work that has to share machines: what fits one type only, by priority. */
    private data class Pool(val type: Int, val priority: Priority)

    private class Load(val job: OpenJob, val seconds: Double)

    /**
     * When more is asked of a type than it can do in time, someone will be late; what costs most machine time gives
     * way, as long as it takes to bring the rest in on time (Moore and Hodgson's rule, by type and priority). It is put
     * off, not for ever: see [StarvationPrevention].
     */
    private fun findGivenUp() {
        givenUp.clear()
        val started = jobs.open.filter { it.placeable || !it.tasks.noneLive }
        for ((pool, jobs) in started.groupBy { Pool(it.onlyType, it.spec.priority) }) {
            val cpus = cpusOf(pool.type)
            if (cpus > 0) giveUpAmong(jobs, cpus)
        }
    }

    private fun giveUpAmong(jobs: List<OpenJob>, cpus: Double) {
        val chosen = PriorityQueue<Load>(compareBy { -it.seconds })
        var sum = 0.0
        for (job in jobs.filter { due(it) != Long.MAX_VALUE && !hopeless(it) }.sortedBy { due(it) }) {
            val seconds = (job.spec.tasks - job.progress.doneCount) * job.taskResources.cpus * job.spec.expectedS / cpus
            chosen.add(Load(job, seconds))
            sum += seconds
            if (context.now.wall + maxOf(sum, job.spec.expectedS) * SURE_FACTOR * MS_PER_S <= due(job)) continue
            val largest = chosen.poll()
            sum -= largest.seconds
            if (largest.job.tasks.noneLive) givenUp.add(largest.job)
        }
    }

    /**
     * Whether the job has missed what its users wait for. When more is asked than can be done, work that can still be
     * in time goes first: running what is late anyway would only make the rest late too.
     */
    private fun hopeless(job: OpenJob): Boolean {
        if (objectives.canStartInTime(job, context.now.wall)) return false
        val due = due(job)
        return due != Long.MAX_VALUE && context.now.wall + job.spec.expectedS * SURE_FACTOR * MS_PER_S > due
    }

    /** Whether others may go before the job for a while without making it late. */
    private fun canWait(job: OpenJob): Boolean {
        val due = due(job)
        return due == Long.MAX_VALUE || due - context.now.wall > job.spec.expectedS * LATE_FACTOR * MS_PER_S + SLACK_MS
    }

    private fun due(job: OpenJob): Long =
        objectives.dueWall(job, context.now.wall, (job.spec.expectedS * SURE_FACTOR * MS_PER_S).toLong())

    private companion object {
        const val ALL_TYPES = -1
        const val SLACK_MS = 20_000L

        /** Estimates are often too high; what may still do is not given up. */
        const val SURE_FACTOR = 0.8

        /** And some are too low: what takes this much longer should still be in time. */
        const val LATE_FACTOR = 1.5
    }
}
