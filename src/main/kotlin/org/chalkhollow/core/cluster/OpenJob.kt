package org.chalkhollow.core.cluster

import it.unimi.dsi.fastutil.ints.IntOpenHashSet
import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.JobState
import org.chalkhollow.model.MachineType
import org.chalkhollow.model.Shape

/**
 * A job that is not over, or whose attempts are not all gone yet; indices stand for all names. Made by `JobTable`. What
 * changes about it is held by parts with one owner each, which others only read.
 */
class OpenJob(
    val entry: JobEntry,
    val spec: JobSpec,
    val team: Int,
    val image: Int,
    val types: IntOpenHashSet?,
    val zone: Int,
    val acceptedWallMs: Long,
    tasksPerPage: Int,
) {
    val taskResources = spec.taskResources
    val progress = JobProgress(spec.tasks)
    val pages = ProgressPages(tasksPerPage)
    val tasks = TaskReadiness(spec.tasks, progress)
    val backoff = FailureBackoff()
    val credit = FairShareCredit(acceptedWallMs)
    val runTimes = ObservedRunTimes()

    /** Whether its cancellation is being written; nothing of it is placed or started from then on. */
    var cancelling = false
        private set

    /** The one machine type that can hold its tasks although others exist, or -1. Written by `ScarceMachineTypes`. */
    var onlyType = -1
        private set

    /** Completed attempts whose completion is not durable yet. Written by `AttemptReconciler`. */
    val unrecordedCompletions = ArrayList<Attempt>()

    val gang: Boolean get() = spec.shape == Shape.GANG

    /** Its replicas run until it is cancelled; none is ever done. */
    val service: Boolean get() = spec.shape == Shape.SERVICE
    val complete: Boolean get() = progress.complete
    val cancelled: Boolean get() = entry.state == JobState.CANCELLED
    val placeable: Boolean
        get() = !cancelling && !complete && entry.state == JobState.OPEN && !tasks.noneReady

    /** Whether all its tasks have to be in one zone, or to be spread over zones. */
    val hasZoneConstraint: Boolean get() = spec.together || spec.spread

    /** CPUs of a task where it is counted how many may start; those that take hardly any count for a little. */
    val countedCpus: Double get() = maxOf(taskResources.cpus, MIN_COUNTED_CPUS)

    /** Whether a machine of this type could ever run a task of it. */
    fun fitsType(index: Int, type: MachineType): Boolean =
        (types == null || index in types) && taskResources.fitsIn(type.room)

    fun updateOnlyType(type: Int) {
        onlyType = type
    }

    fun beginCancellation() {
        cancelling = true
    }

    /** A task completed at [now], by the steady clock; it is written with the next transaction that has room. */
    fun completeTask(index: Int, now: Long) {
        if (restoreCompletion(index)) pages.taskDone(index, now)
    }

    /** Marks a task as done whose completion is durable; false when it was before, or when there is no such task. */
    fun restoreCompletion(index: Int): Boolean {
        if (!progress.markDone(index)) return false
        tasks.taskDone(index)
        return true
    }

    private companion object {
        const val MIN_COUNTED_CPUS = 0.1
    }
}
