package org.chalkhollow.core.cluster

import it.unimi.dsi.fastutil.ints.IntOpenHashSet
import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.JobState
import org.chalkhollow.model.MachineType
import org.chalkhollow.model.Shape

/**
 * A job that is neither done nor cancelled, or that still has attempts. Names are replaced by indices. Created by
 * `JobTable`. Its mutable state is held by objects that have one writer each; other code only reads them.
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
    val hold = PlacementHold()
    val runTimes = ObservedRunTimes()

    /** Whether its cancellation is being written. From then on no task of it is placed or started. */
    var cancelling = false
        private set

    /**
     * The only machine type that is large enough for its tasks if others are too small, else -1. Written by
     * `ScarceMachineTypes`.
     */
    var onlyType = -1
        private set

    /** Completed attempts whose completion is not durable yet. Written by `AttemptReconciler`. */
    val unrecordedCompletions = ArrayList<Attempt>()

    val gang: Boolean get() = spec.shape == Shape.GANG

    /** Whether it is a service: its replicas run until it is cancelled, and none of them ever completes. */
    val service: Boolean get() = spec.shape == Shape.SERVICE
    val complete: Boolean get() = progress.complete
    val cancelled: Boolean get() = entry.state == JobState.CANCELLED
    val placeable: Boolean
        get() = !cancelling && !complete && entry.state == JobState.OPEN && !tasks.noneReady

    /** Whether all its tasks have to run in one zone, or to be spread over zones. */
    val hasZoneConstraint: Boolean get() = spec.together || spec.spread

    /** CPUs of a task when a number of CPUs is converted into a number of tasks; never close to 0. */
    val countedCpus: Double get() = maxOf(taskResources.cpus, MIN_COUNTED_CPUS)

    /** Whether an idle machine of this type could run one of its tasks. */
    fun fitsType(index: Int, type: MachineType): Boolean =
        (types == null || index in types) && taskResources.fitsIn(type.capacity)

    fun updateOnlyType(type: Int) {
        onlyType = type
    }

    fun beginCancellation() {
        cancelling = true
    }

    /** A task completed at [now], in monotonic time. `CompletionWriter` persists it in a later transaction. */
    fun completeTask(index: Int, now: Long) {
        if (restoreCompletion(index)) pages.taskDone(index, now)
    }

    /**
     * Marks a task whose completion is durable as done; returns false if it already was, or if there is no such task.
     */
    fun restoreCompletion(index: Int): Boolean {
        if (!progress.markDone(index)) return false
        tasks.taskDone(index)
        return true
    }

    private companion object {
        const val MIN_COUNTED_CPUS = 0.1
    }
}
