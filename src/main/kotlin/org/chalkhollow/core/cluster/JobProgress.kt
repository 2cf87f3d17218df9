package org.chalkhollow.core.cluster

import java.util.BitSet

/**
 * Owns which of a job's [tasks] have completed. A completed task never becomes incomplete again. Written through
 * [OpenJob.completeTask] and, while stored pages are loaded, [OpenJob.restoreCompletion].
 */
class JobProgress(private val tasks: Int) {
    private val done = BitSet()

    var doneCount = 0
        private set

    val complete: Boolean get() = doneCount == tasks

    fun isDone(index: Int): Boolean = done.get(index)

    /** A copy of the set of completed tasks. */
    fun snapshot(): BitSet = done.clone() as BitSet

    /**
     * A copy of the completed tasks from [from] (inclusive) to [until] (exclusive), with indices relative to [from].
     */
    fun slice(from: Int, until: Int): BitSet = done.get(from, minOf(until, tasks))

    /** Marks a task as completed; returns false if it already was, or if the job has no such task. */
    internal fun markDone(index: Int): Boolean {
        if (index >= tasks || done.get(index)) return false
        done.set(index)
        doneCount++
        return true
    }
}
