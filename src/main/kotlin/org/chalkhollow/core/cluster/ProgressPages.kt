package org.chalkhollow.core.cluster

import it.unimi.dsi.fastutil.ints.IntOpenHashSet
import it.unimi.dsi.fastutil.ints.IntSet
import java.util.BitSet

/**
 * Owns which part of a job's progress is stored in the state service. Progress is written in pages of [tasksPerPage]
 * tasks each, identified by their first task. A page that was stored with other limits may have another size. The page
 * of a completion that is not durable is always dirty or in flight. Written by `CompletionWriter` and, while records
 * are loaded, by `JobTable`.
 */
class ProgressPages(private val tasksPerPage: Int) {
    private val dirty = BitSet()

    /** The first tasks of the pages that are stored. */
    private val storedFirstTasks = IntOpenHashSet()

    /** Pages whose stored record also covers tasks of later pages. */
    private val oversized = BitSet()

    /** Pages with completions that are durable only in an oversized record of an earlier page. */
    private val coveredByOversized = BitSet()

    /** Start of the current batch of completions: the first of them, or the last page that was sent. */
    var dirtySinceMs = 0L
        private set

    /** When to retry a record of this job's progress that the state service rejected. */
    private var retryAtMs = 0L

    /** Whether the record that marks the job as done is being written. */
    var completionInFlight = false
        private set

    val stored: IntSet get() = storedFirstTasks

    /** Whether there is progress to write and it may be written at [now]. */
    fun mayWrite(now: Long): Boolean = !completionInFlight && !dirty.isEmpty && now >= retryAtMs

    fun firstTask(page: Int): Int = page * tasksPerPage

    internal fun taskDone(index: Int, now: Long) {
        if (dirty.isEmpty) dirtySinceMs = now
        dirty.set(index / tasksPerPage)
    }

    /**
     * Records that a page is stored for the tasks from [from] on. [done] has indices relative to [from]; the job has
     * [tasks] tasks. Completions beyond [tasksPerPage] are written again to pages of their own.
     */
    internal fun loaded(from: Int, done: BitSet, tasks: Int) {
        storedFirstTasks.add(from)
        if (from % tasksPerPage != 0 || done.length() <= tasksPerPage) return
        val own = from / tasksPerPage
        oversized.set(own)
        var offset = done.nextSetBit(tasksPerPage)
        while (offset >= 0 && from + offset < tasks) {
            val page = (from + offset) / tasksPerPage
            coveredByOversized.set(page)
            dirty.set(page)
            offset = done.nextSetBit(firstTask(page + 1) - from)
        }
        dirty.set(own)
    }

    /**
     * The page to write next, or -1 if none may be written now. A version with a larger value limit wrote larger pages.
     * Overwriting such a page with a smaller one removes completions of later pages, so these must be durable first.
     * The pages that it covers are therefore written before it, from the highest down.
     */
    fun nextToWrite(): Int {
        val highest = coveredByOversized.length() - 1
        var page = dirty.length() - 1
        while (page >= 0) {
            if (coveredByOversized.get(page) && !(oversized.get(page) && page < highest)) return page
            page = dirty.previousSetBit(page - 1)
        }
        page = dirty.nextSetBit(0)
        while (page >= 0 && oversized.get(page) && page < highest) page = dirty.nextSetBit(page + 1)
        return page
    }

    fun pageSent(page: Int, now: Long) {
        dirty.clear(page)
        dirtySinceMs = now
    }

    fun pageWritten(page: Int) {
        storedFirstTasks.add(firstTask(page))
        oversized.clear(page)
        coveredByOversized.clear(page)
    }

    fun pageRejected(page: Int, retryAtMs: Long) {
        dirty.set(page)
        this.retryAtMs = retryAtMs
    }

    /** All tasks of a loaded job are done, but its record says that it is open, so its completion must be written. */
    fun completionMissing() = dirty.set(0)

    fun completionSent() {
        completionInFlight = true
    }

    fun completionWritten() = dirty.clear()

    fun completionRejected(retryAtMs: Long) {
        completionInFlight = false
        this.retryAtMs = retryAtMs
    }
}
