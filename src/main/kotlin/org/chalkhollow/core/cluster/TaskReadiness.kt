package org.chalkhollow.core.cluster

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap
import java.util.BitSet

/**
 * Owns which of a job's tasks are ready to be placed and which are live, and counts those that run. A task is live
 * while at least one of its attempts may be on a machine. It is ready when it is neither done nor live. Written by
 * `AttemptReconciler`.
 */
class TaskReadiness(tasks: Int, private val progress: JobProgress) {
    private val ready = BitSet().apply { set(0, tasks) }

    /** Number of attempts that may be on a machine, by index of the live task. */
    private val live = Int2IntOpenHashMap()

    /** Number of attempts that are known to run. */
    var running = 0
        private set

    val readyCount: Int get() = ready.cardinality()
    val noneReady: Boolean get() = ready.isEmpty
    val liveCount: Int get() = live.size
    val noneLive: Boolean get() = live.isEmpty()

    /** The first ready task at or after [from], or -1. */
    fun nextReady(from: Int): Int = ready.nextSetBit(from)

    fun isLive(index: Int): Boolean = live.get(index) > 0

    /** A new attempt of the task may be on a machine from now on. */
    fun attemptReserved(index: Int) {
        live.addTo(index, 1)
        ready.clear(index)
    }

    /** An attempt of the task has exited or is confirmed absent. */
    fun attemptReleased(index: Int) {
        val left = live.addTo(index, -1) - 1
        if (left <= 0) {
            live.remove(index)
            if (!progress.isDone(index)) ready.set(index)
        }
    }

    fun runStarted() {
        running++
    }

    fun runEnded() {
        running--
    }

    internal fun taskDone(index: Int) = ready.clear(index)
}
