package org.chalkhollow.core

import org.chalkhollow.settings.Objective

/** What the settings say of how soon classes of jobs should start and finish. */
class Aims(objectives: List<Objective>) {
    private val startWithin = HashMap<String, Long>()
    private val finishWithin = HashMap<String, Long>()

    private var guaranteeWithin = 0L

    init {
        for (o in objectives) {
            if (o.kind == "guarantee") guaranteeWithin = ((o.withinS ?: 0.0) * 1000).toLong()
            val workload = o.workload ?: continue
            val ms = ((o.withinS ?: continue) * 1000).toLong()
            if (o.kind == "wait") startWithin[workload] = ms
            if (o.kind == "finished") finishWithin[workload] = ms
        }
    }

    /** Whether users of this class wait for its tasks to start. */
    fun startsCount(job: OpenJob): Boolean = job.spec.workload in startWithin

    /** Whether tasks that start now are still in time for the class's aim on starting. */
    fun startable(job: OpenJob, wall: Long): Boolean = wall < job.acceptedWall + (startWithin[job.spec.workload] ?: return false)

    /** Whether tasks within a guarantee that start now are still in time. */
    fun freshGuarantee(job: OpenJob, wall: Long): Boolean = wall < job.acceptedWall + guaranteeWithin

    /** When the job should be over, by its owner's deadline or its class's aim; [Long.MAX_VALUE] if nobody says. */
    fun dueWall(job: OpenJob): Long {
        val within = finishWithin[job.spec.workload] ?: return job.dueWall
        return minOf(job.dueWall, job.acceptedWall + within)
    }
}
