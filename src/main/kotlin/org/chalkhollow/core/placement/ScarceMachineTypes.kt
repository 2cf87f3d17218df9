package org.chalkhollow.core.placement

import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.core.jobs.ServiceLevelObjectives
import org.chalkhollow.model.Priority

/**
 * Owns which machine types are scarce: the tasks of some jobs fit no other type. Scarce types are reserved for such
 * jobs, since these cannot run elsewhere. Called by [Placement], once a round, and read by [MachineSelector].
 */
class ScarceMachineTypes(
    private val context: CoreContext,
    private val jobs: JobTable,
    private val fleet: Fleet,
    private val objectives: ServiceLevelObjectives,
) {
    /** When a job that fits no other type was last seen, by type. */
    private val lastSeenMs = Int2LongOpenHashMap().apply { defaultReturnValue(Machine.NEVER) }

    /** When such a job was last seen with pending tasks, by type. */
    private val lastPendingMs = Int2LongOpenHashMap().apply { defaultReturnValue(Machine.NEVER) }

    fun update() {
        for (job in jobs.open) {
            val type = onlyType(job)
            job.updateOnlyType(type)
            if (type < 0) continue
            lastSeenMs.put(type, context.steady)
            if (!job.tasks.noneReady) lastPendingMs.put(type, context.steady)
        }
    }

    /** The one type that is large enough for the job when others are too small; [Machine.UNKNOWN] if there is none. */
    private fun onlyType(job: OpenJob): Int {
        var only = Machine.UNKNOWN
        var hasTooSmallType = false
        for ((index, type) in fleet.types.withIndex()) {
            if (type == null || (job.types != null && index !in job.types)) continue
            if (!job.taskResources.fitsIn(type.capacity)) {
                hasTooSmallType = true
            } else if (only >= 0) {
                return Machine.UNKNOWN
            } else {
                only = index
            }
        }
        return if (hasTooSmallType) only else Machine.UNKNOWN
    }

    /** Whether tasks that fit no other type were recently pending for this one, which [job] does not need. */
    fun isNeededByOthers(job: OpenJob, type: Int): Boolean = job.onlyType != type && hadPendingTasksRecently(type)

    /**
     * Whether [type] is reserved for jobs other than [job]. Urgent jobs, jobs above standard priority and jobs that
     * have waited long may use it anyway. So may jobs older than [RECENT_WAIT_MS] if no task that needs the type was
     * pending within that time.
     */
    fun isReservedForOthers(job: OpenJob, type: Int): Boolean {
        if (context.steady - lastSeenMs.get(type) > RESERVATION_MS || job.onlyType == type) return false
        if (objectives.awaitsPromptStart(job) || job.spec.priority < Priority.STANDARD) return false
        if (job.credit.hasWaitedLong(context.now.wall)) return false
        return context.now.wall - job.acceptedWallMs < RECENT_WAIT_MS || hadPendingTasksRecently(type)
    }

    private fun hadPendingTasksRecently(type: Int): Boolean = context.steady - lastPendingMs.get(type) < RECENT_WAIT_MS

    private companion object {
        /** How long a type stays reserved after a job that needs it was last seen. */
        const val RESERVATION_MS = 300_000L

        /** How long a pending task counts as recent, and how old a job must be to use a type reserved for others. */
        const val RECENT_WAIT_MS = 30_000L
    }
}
