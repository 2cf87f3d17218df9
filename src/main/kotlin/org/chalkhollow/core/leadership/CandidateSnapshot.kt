package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.StateOp
import org.chalkhollow.core.common.StateReply
import org.chalkhollow.model.KeyValue

/**
 * Owns the snapshot of all stored records, which this controller reads before it campaigns. It reads the keys under
 * [prefixes], in that order.
 *
 * A leader without the snapshot would renew the leases of tasks whose cancellation an earlier leader has confirmed. If
 * an outage of the state service began before it had read the cancellations, it would do so until the outage ends.
 *
 * Every write changes the leadership record. A snapshot that was begun at some revision of the record therefore stays
 * up to date for as long as the record keeps that revision, and a campaign is conditional on that revision.
 * [Leadership] uses the snapshot through [Leadership.Events].
 */
class CandidateSnapshot(
    private val context: CoreContext,
    private val prefixes: List<String>,
    private val onComplete: () -> Unit,
) {
    private class SnapshotRead(val revision: Long, val startedAtMs: Long) {
        val rows = ArrayList<KeyValue>()
        var isComplete = false

        /** Repeats the call that failed; null if none has failed. */
        var retry: (() -> Unit)? = null
        var retryAtMs = 0L
    }

    private var currentRead: SnapshotRead? = null

    /** Time since the snapshot was begun, 0 if there is none. */
    val ageMs: Long get() = currentRead?.let { context.steady - it.startedAtMs } ?: 0L

    /** Starts to read for [revision], unless it has done so already. A snapshot for another revision is discarded. */
    fun begin(revision: Long) {
        if (currentRead?.revision == revision) return
        val newRead = SnapshotRead(revision, context.steady)
        currentRead = newRead
        readPage(newRead, prefixIndex = 0, after = null)
    }

    /** Whether all records were read, beginning while the leadership record had [revision]. */
    fun isComplete(revision: Long): Boolean = currentRead.let { it != null && it.revision == revision && it.isComplete }

    /** Returns the complete snapshot for [revision] and forgets it. */
    fun take(revision: Long): List<KeyValue> {
        check(isComplete(revision)) { "no complete snapshot for revision $revision of the leadership record" }
        val rows = currentRead?.rows.orEmpty()
        currentRead = null
        return rows
    }

    fun discard() {
        currentRead = null
    }

    /** Repeats the call that failed, [RETRY_MS] after its reply. */
    fun tick() {
        val current = currentRead ?: return
        val retry = current.retry ?: return
        if (context.steady < current.retryAtMs) return
        current.retry = null
        retry()
    }

    /** Reads a page of the keys under the prefix with index [prefixIndex]: from its start, or after the key [after]. */
    private fun readPage(current: SnapshotRead, prefixIndex: Int, after: String?) {
        context.callStateService(StateOp.List(prefixes[prefixIndex], after)) { reply ->
            when {
                currentRead !== current -> context.dropped.count(DroppedInput.REPLY_LATE)
                reply is StateReply.Page -> onPage(current, prefixIndex, reply)
                else -> {
                    current.retry = { readPage(current, prefixIndex, after) }
                    current.retryAtMs = context.steady + RETRY_MS
                }
            }
        }
    }

    private fun onPage(current: SnapshotRead, prefixIndex: Int, page: StateReply.Page) {
        val rows = page.rows.rows
        current.rows.addAll(rows)
        when {
            page.rows.more && rows.isNotEmpty() -> readPage(current, prefixIndex, rows.last().key)
            prefixIndex + 1 < prefixes.size -> readPage(current, prefixIndex + 1, null)
            else -> {
                current.isComplete = true
                onComplete()
            }
        }
    }

    private companion object {
        const val RETRY_MS = 250L
    }
}
