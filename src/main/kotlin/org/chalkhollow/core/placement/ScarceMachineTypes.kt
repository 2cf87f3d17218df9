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
 * Owns which machine types are scarce: they alone can hold some jobs' tasks. Those types are reserved for such jobs,
 * since their work has nowhere else to go. Called by [Placement], once a round, and read by [MachineSelector].
 */
class ScarceMachineTypes(
    private val context: CoreContext,
    private val jobs: JobTable,
    private val fleet: Fleet,
    private val objectives: ServiceLevelObjectives,
) {
    /** When jobs that fit no other type were last seen, and last seen waiting, by type. */
    private val seenAt = Int2LongOpenHashMap().apply { defaultReturnValue(Machine.NEVER) }
    private val waitedAt = Int2LongOpenHashMap().apply { defaultReturnValue(Machine.NEVER) }

    fun update() {
        for (job in jobs.open) {
            val type = onlyType(job)
            job.updateOnlyType(type)
            if (type < 0) continue
            seenAt.put(type, context.steady)
            if (!job.tasks.noneReady) waitedAt.put(type, context.steady)
        }
    }

    /** The only type that is large enough for the job; negative if several are, or if none is. */
    private fun onlyType(job: OpenJob): Int {
        var only = Machine.UNKNOWN
        var othersAreTooSmall = false
        for ((index, type) in fleet.types.withIndex()) {
            if (type == null || (job.types != null && index !in job.types)) continue
            if (!job.taskResources.fitsIn(type.room)) {
                othersAreTooSmall = true
            } else if (only >= 0) {
                return Machine.UNKNOWN
            } else {
                only = index
            }
        }
        return if (othersAreTooSmall) only else Machine.UNKNOWN
    }

    /** Whether tasks that fit no other type have lately waited for this one, which [job] does not need. */
    fun wantedElsewhere(job: OpenJob, type: Int): Boolean = job.onlyType != type && waitedLately(type)

    /**
     * Whether [type] is reserved for others than [job]. Urgent work may use it all the same, and so may work that has
     * waited long while nothing waits for the type.
     */
    fun reservedFromJob(job: OpenJob, type: Int): Boolean {
        if (context.steady - seenAt.get(type) > SCARCE_MS || job.onlyType == type) return false
        if (objectives.awaitsPromptStart(job) || job.spec.priority < Priority.STANDARD) return false
        if (job.credit.hasWaitedLong(context.now.wall)) return false
        return context.now.wall - job.acceptedWallMs < WAITED_MS || waitedLately(type)
    }

    private fun waitedLately(type: Int): Boolean = context.steady - waitedAt.get(type) < WAITED_MS

    private companion object {
        const val SCARCE_MS = 300_000L
        const val WAITED_MS = 30_000L
    }
}
