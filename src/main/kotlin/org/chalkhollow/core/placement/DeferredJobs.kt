package org.chalkhollow.core.placement

import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.model.Priority
import java.util.PriorityQueue

/**
 * Owns which jobs are deferred in a round. When the jobs that need a machine type cannot all meet their deadlines,
 * those with the most remaining work are deferred until the rest can (Moore-Hodgson algorithm, by type and priority).
 * [StarvationPrevention] bounds how long a job is deferred. Called by [JobOrder].
 */
class DeferredJobs(private val jobs: JobTable, private val fleet: Fleet, private val deadlines: Deadlines) {
    private val deferred = HashSet<OpenJob>()

    /** CPUs by machine type, cached for this round; the total is under [ALL_TYPES]. */
    private val cpusByType = HashMap<Int, Double>()

    /** CPUs of all machines in this round. */
    val fleetCpus: Double get() = cpusOf(ALL_TYPES)

    /** Jobs of one priority that compete for machines: those that fit only [type], or all others for [ALL_TYPES]. */
    private data class Pool(val type: Int, val priority: Priority)

    /** A job, and how long all machines of its pool together need for its remaining tasks. */
    private class Load(val job: OpenJob, val durationS: Double)

    operator fun contains(job: OpenJob): Boolean = job in deferred

    fun update() {
        cpusByType.clear()
        deferred.clear()
        val activeJobs = jobs.open.filter { it.placeable || !it.tasks.noneLive }
        for ((pool, jobsOfPool) in activeJobs.groupBy { Pool(it.onlyType, it.spec.priority) }) {
            val cpus = cpusOf(pool.type)
            if (cpus > 0) deferAmong(jobsOfPool, cpus)
        }
    }

    private fun cpusOf(type: Int): Double = cpusByType.getOrPut(type) { fleet.cpus(type) }

    private fun deferAmong(jobs: List<OpenJob>, cpus: Double) {
        val scheduled = PriorityQueue<Load>(compareBy { -it.durationS })
        var totalS = 0.0
        val candidates = jobs.filter { deadlines.hasDeadline(it) && !deadlines.isRunningLate(it) }
        for (job in candidates.sortedBy { deadlines.dueWallMs(it) }) {
            val load = Load(job, remainingS(job, cpus))
            scheduled.add(load)
            totalS += load.durationS
            if (deadlines.canFinishInTime(job, maxOf(totalS, job.spec.expectedS))) continue
            val largest = scheduled.poll()
            totalS -= largest.durationS
            if (largest.job.tasks.noneLive) deferred.add(largest.job)
        }
    }

    private fun remainingS(job: OpenJob, cpus: Double): Double =
        (job.spec.tasks - job.progress.doneCount) * job.taskResources.cpus * job.spec.expectedS / cpus

    private companion object {
        const val ALL_TYPES = -1
    }
}
