package org.chalkhollow.core.placement

import org.chalkhollow.core.fleet.ScaleIn
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.core.jobs.ServiceLevelObjectives
import org.chalkhollow.settings.OperatorSettings

/**
 * Owns the headroom that jobs which can wait leave free for urgent jobs to come: a multiple of the mean size of the
 * last jobs of urgent classes. Headroom for services is reserved by machine, see [ReplicaPlacement]. Called by
 * [Placement], once a round, and read by [ScaleIn].
 */
class UrgentHeadroom(
    private val jobs: JobTable,
    private val objectives: ServiceLevelObjectives,
    private val options: OperatorSettings,
) {
    /** CPUs demanded by each of the last jobs of classes whose users wait for tasks to start, without services. */
    private val jobCpus = ArrayDeque<Double>()
    private var newestSeenIndex = -1

    fun recordJobSizes() {
        var newestIndex = newestSeenIndex
        for (job in jobs.open) {
            if (job.entry.index <= newestSeenIndex || !objectives.awaitsPromptStart(job)) continue
            newestIndex = maxOf(newestIndex, job.entry.index)
            if (job.service) continue
            jobCpus.addLast(job.taskResources.cpus * job.spec.tasks)
            if (jobCpus.size > MAX_RECORDED_JOBS) jobCpus.removeFirst()
        }
        newestSeenIndex = newestIndex
    }

    fun cpus(): Double = if (jobCpus.isEmpty()) 0.0 else options.urgentHeadroomFactor * jobCpus.average()

    private companion object {
        const val MAX_RECORDED_JOBS = 50
    }
}
