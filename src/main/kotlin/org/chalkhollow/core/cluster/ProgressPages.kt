package org.chalkhollow.core.cluster

import it.unimi.dsi.fastutil.ints.IntOpenHashSet
import it.unimi.dsi.fastutil.ints.IntSet
import java.util.BitSet

/**
 * Owns what of a job's progress is written in the state service and what is not. Progress is written in pages of
 * [tasksPerPage] tasks each, named by their first task; a stored page may be of another size when a version with other
 * limits wrote it. A completion that is not durable always has its page among the dirty ones or in flight. Written by
 * `CompletionWriter` and, while records are loaded, `JobTable`.
 */
class ProgressPages(private val tasksPerPage: Int) {
    private val dirty = BitSet()

    /** The first tasks of the pages that exist in the state service. */
    private val storedFirstTasks = IntOpenHashSet()

    /** Pages whose stored record reaches beyond them. */
    private val oversized = BitSet()

    /** Pages that hold what an oversized record has beyond its own page, and that are not durable yet. */
    private val rewritten = BitSet()

    /** Since when completions have been gathered that are not written yet. */
    var dirtySinceMs = 0L
        private set

    /** The state service refused a record of this job's progress, which is written again from this moment on. */
    private var retryAtMs = 0L

    /** Whether the record that the job is done is being written. */
    var completionInFlight = false
        private set

    val stored: IntSet get() = storedFirstTasks

    /** Whether some progress is not written yet, and may be tried now. */
    fun mayWrite(now: Long): Boolean = !completionInFlight && !dirty.isEmpty && now >= retryAtMs

    fun firstTask(page: Int): Int = page * tasksPerPage

    internal fun taskDone(index: Int, now: Long) {
        if (dirty.isEmpty) dirtySinceMs = now
        dirty.set(index / tasksPerPage)
    }

    /**
     * Notes a stored page that begins at task [from] and holds [done], counted from there, of a job with [tasks] tasks.
     * What reaches beyond a page of ours is to be written again, in pages of ours.
     */
    internal fun loaded(from: Int, done: BitSet, tasks: Int) {
        storedFirstTasks.add(from)
        if (from % tasksPerPage != 0 || done.length() <= tasksPerPage) return
        val own = from / tasksPerPage
        oversized.set(own)
        var offset = done.nextSetBit(tasksPerPage)
        while (offset >= 0 && from + offset < tasks) {
            val page = (from + offset) / tasksPerPage
            rewritten.set(page)
            dirty.set(page)
            offset = done.nextSetBit(firstTask(page + 1) - from)
        }
        dirty.set(own)
    }

    /**
     * The page to write next, or -1. A version with larger values wrote larger pages: what such a one holds beyond ours
     * must be durable elsewhere before it is overwritten, so those parts go first, the highest before all.
     */
    fun nextToWrite(): Int {
        val highest = rewritten.length() - 1
        var page = dirty.length() - 1
        while (page >= 0) {
            if (rewritten.get(page) && !(oversized.get(page) && page < highest)) return page
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
        rewritten.clear(page)
    }

    fun pageRejected(page: Int, retryAtMs: Long) {
        dirty.set(page)
        this.retryAtMs = retryAtMs
    }

    /** All tasks of a loaded job are done, but the record says it is open: its completion is yet to be written. */
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
