package org.chalkhollow.core.placement

import org.chalkhollow.core.fleet.ScaleIn
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.core.jobs.ServiceLevelObjectives
import org.chalkhollow.settings.OperatorSettings

/**
 * Owns the headroom that work which can wait leaves free for urgent work to come: as much as jobs of urgent classes
 * mostly take, by the last ones seen. Headroom for services is reserved by machine, see [Replicas]. Called by
 * [Placement], once a round, and read by [ScaleIn].
 */
class UrgentHeadroom(
    private val jobs: JobTable,
    private val objectives: ServiceLevelObjectives,
    private val options: OperatorSettings,
) {
    /** Sizes in CPUs of the last jobs of classes whose users wait for tasks to start. */
    private val sizes = ArrayDeque<Double>()
    private var newestSeenId = -1

    fun recordSizes() {
        var newestId = newestSeenId
        for (job in jobs.open) {
            if (job.entry.index <= newestSeenId || !objectives.awaitsPromptStart(job)) continue
            newestId = maxOf(newestId, job.entry.index)
            if (job.service) continue
            sizes.addLast(job.taskResources.cpus * job.spec.tasks)
            if (sizes.size > MAX_SIZES) sizes.removeFirst()
        }
        newestSeenId = newestId
    }

    fun cpus(): Double = if (sizes.isEmpty()) 0.0 else options.urgentReserve * sizes.average()

    private companion object {
        const val MAX_SIZES = 50
    }
}
