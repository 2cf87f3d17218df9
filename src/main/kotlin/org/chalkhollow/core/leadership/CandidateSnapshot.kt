package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.StateOp
import org.chalkhollow.core.common.StateReply
import org.chalkhollow.model.KeyValue

/**
 * Reads all that leaders have written, under [prefixes] and in their order, before this controller stands for
 * leadership. A leader that has yet to read would renew the leases of tasks whose cancellation an earlier one has
 * confirmed, and in an outage that begins just then it would for as long as that lasts. Every write raises the
 * leadership record, so what was read after the record had some stamp is all there is for as long as it keeps that
 * stamp; and a take-over is conditional on it.
 */
class CandidateSnapshot(
    private val context: CoreContext,
    private val prefixes: List<String>,
    private val onComplete: () -> Unit,
) {
    private class Reading(val revision: Long, val begunAt: Long) {
        val rows = ArrayList<KeyValue>()
        var done = false
        var retry: (() -> Unit)? = null
        var retryAt = 0L
    }

    private var reading: Reading? = null

    /** Begins anew unless it is reading for this [revision] already. */
    fun begin(revision: Long) {
        if (reading?.revision == revision) return
        val r = Reading(revision, context.steady)
        reading = r
        read(r, 0, null)
    }

    /** Whether all was read, from a moment on at which the leadership record had [revision]. */
    fun complete(revision: Long): Boolean = reading.let { it != null && it.revision == revision && it.done }

    /** Hands over what was read for [revision]. */
    fun take(revision: Long): List<KeyValue> {
        check(complete(revision)) { "took over without having read what was written" }
        val rows = reading?.rows.orEmpty()
        reading = null
        return rows
    }

    /** What was read is of no use any more. */
    fun drop() {
        reading = null
    }

    /** How long ago this reading was begun. */
    val ageMs: Long get() = reading?.let { context.steady - it.begunAt } ?: 0L

    /** Asks again for what was not answered. */
    fun tick() {
        val r = reading ?: return
        val retry = r.retry ?: return
        if (context.steady < r.retryAt) return
        r.retry = null
        retry()
    }

    private fun read(r: Reading, prefix: Int, after: String?) {
        context.callStateService(StateOp.List(prefixes[prefix], after)) { reply ->
            if (reading !== r) return@callStateService context.dropped.count(DroppedInput.REPLY_LATE)
            if (reply !is StateReply.Page) {
                r.retry = { read(r, prefix, after) }
                r.retryAt = context.steady + RETRY_MS
                return@callStateService
            }
            r.rows.addAll(reply.rows.rows)
            val last =
                reply.rows.rows
                    .lastOrNull()
                    ?.key
            when {
                reply.rows.more && last != null -> read(r, prefix, last)
                prefix + 1 < prefixes.size -> read(r, prefix + 1, null)
                else -> {
                    r.done = true
                    onComplete()
                }
            }
        }
    }

    private companion object {
        const val RETRY_MS = 250L
    }
}
