package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.StateOp
import org.chalkhollow.core.common.StateReply
import org.chalkhollow.model.KeyValue

/**
 * Owns the snapshot of all that leaders have written, read under [prefixes] and in their order before this controller
 * campaigns for leadership. A leader that has yet to read would renew the leases of tasks whose cancellation an earlier
 * one has confirmed, and in an outage that begins just then it would for as long as that lasts. Every write raises the
 * leadership record, so what was read after the record had some revision is all there is for as long as it keeps that
 * revision; and a take-over is conditional on it. The controller hands it to [Leadership] by [Leadership.Events].
 */
class CandidateSnapshot(
    private val context: CoreContext,
    private val prefixes: List<String>,
    private val onComplete: () -> Unit,
) {
    private class Reading(val revision: Long, val startedAt: Long) {
        val rows = ArrayList<KeyValue>()
        var complete = false

        /** Sends the read again that was not answered; null while none waits for that. */
        var retry: (() -> Unit)? = null
        var retryAt = 0L
    }

    private var reading: Reading? = null

    /** How long ago the present reading was begun. */
    val ageMs: Long get() = reading?.let { context.steady - it.startedAt } ?: 0L

    /** Begins anew unless it is reading for this [revision] already. */
    fun begin(revision: Long) {
        if (reading?.revision == revision) return
        val newReading = Reading(revision, context.steady)
        reading = newReading
        read(newReading, prefix = 0, after = null)
    }

    /** Whether all was read, from a moment on at which the leadership record had [revision]. */
    fun isComplete(revision: Long): Boolean = reading.let { it != null && it.revision == revision && it.complete }

    /** Hands over what was read for [revision]. */
    fun take(revision: Long): List<KeyValue> {
        check(isComplete(revision)) { "took over without having read what was written" }
        val rows = reading?.rows.orEmpty()
        reading = null
        return rows
    }

    /** What was read is of no use any more. */
    fun discard() {
        reading = null
    }

    /** Asks again for what was not answered. */
    fun tick() {
        val current = reading ?: return
        val retry = current.retry ?: return
        if (context.steady < current.retryAt) return
        current.retry = null
        retry()
    }

    /** Reads one page: the keys after [after] under the prefix with the index [prefix]. */
    private fun read(current: Reading, prefix: Int, after: String?) {
        context.callStateService(StateOp.List(prefixes[prefix], after)) { reply ->
            when {
                reading !== current -> context.dropped.count(DroppedInput.REPLY_LATE)
                reply is StateReply.Page -> onPage(current, prefix, reply)
                else -> {
                    current.retry = { read(current, prefix, after) }
                    current.retryAt = context.steady + RETRY_MS
                }
            }
        }
    }

    private fun onPage(current: Reading, prefix: Int, page: StateReply.Page) {
        val rows = page.rows.rows
        current.rows.addAll(rows)
        when {
            page.rows.more && rows.isNotEmpty() -> read(current, prefix, rows.last().key)
            prefix + 1 < prefixes.size -> read(current, prefix + 1, null)
            else -> {
                current.complete = true
                onComplete()
            }
        }
    }

    private companion object {
        const val RETRY_MS = 250L
    }
}
