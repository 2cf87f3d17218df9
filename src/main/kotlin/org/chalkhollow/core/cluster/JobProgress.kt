package org.chalkhollow.core.cluster

import java.util.BitSet

/**
 * Owns which of a job's [tasks] have completed. A task that has completed stays so. Written through
 * [OpenJob.completeTask] and, while stored pages are loaded, [OpenJob.restoreCompletion].
 */
class JobProgress(private val tasks: Int) {
    private val done = BitSet()

    var doneCount = 0
        private set

    val complete: Boolean get() = doneCount == tasks

    fun isDone(index: Int): Boolean = done.get(index)

    /** The completed tasks at this moment, as a copy. */
    fun snapshot(): BitSet = done.clone() as BitSet

    /** The completed tasks from [from] until [until], as a copy that counts from [from]. */
    fun slice(from: Int, until: Int): BitSet = done.get(from, minOf(until, tasks))

    /** Marks a task as completed; false when it was before, or when the job has no such task. */
    internal fun markDone(index: Int): Boolean {
        if (index >= tasks || done.get(index)) return false
        done.set(index)
        doneCount++
        return true
    }
}
