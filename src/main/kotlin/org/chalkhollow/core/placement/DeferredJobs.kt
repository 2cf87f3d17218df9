package org.chalkhollow.core.placement

import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.model.Priority
import java.util.PriorityQueue

/**
 * Owns which jobs are deferred in a round. When more is asked of a machine type than it can do in time, some job will
 * be late; those that cost most machine time are deferred, as many as it takes to bring the rest in on time (Moore and
 * Hodgson's rule, by type and priority). They are not deferred for ever, see [StarvationPrevention]. Called by
 * [JobOrder].
 */
class DeferredJobs(private val jobs: JobTable, private val fleet: Fleet, private val deadlines: Deadlines) {
    private val deferred = HashSet<OpenJob>()

    /** CPUs by machine type in this round; all under [ALL_TYPES]. */
    private val cpusByType = HashMap<Int, Double>()

    /** CPUs of all machines in this round. */
    val fleetCpus: Double get() = cpusOf(ALL_TYPES)

    /** Work that has to share machines: what fits one type only, by priority. */
    private data class Pool(val type: Int, val priority: Priority)

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
