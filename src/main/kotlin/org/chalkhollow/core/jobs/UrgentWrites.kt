package org.chalkhollow.core.jobs

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.EncodedSize
import org.chalkhollow.core.storage.StateWriter
import org.chalkhollow.core.storage.TransactionBudget
import org.chalkhollow.core.storage.Write

/** After how long a write is tried again that the state service refused. */
internal const val REJECTED_RETRY_MS = 3000L

/** Whether the write fits into what is left of the transaction. */
internal fun Write.fits(room: TransactionBudget): Boolean =
    changes.size <= room.ops && changes.sumOf { EncodedSize.of(it) } <= room.bytes

/**
 * Owns the writes about jobs that come before all others, in their order: users wait for acceptances and cancellations.
 * What the state service refused and must not be lost is queued again after [REJECTED_RETRY_MS]. Filled by [JobTable],
 * [JobCancellation] and [KeyGarbageCollector], emptied by the [StateWriter].
 */
class UrgentWrites(private val context: CoreContext) {
    private class RefusedWrite(val retryAt: Long, val write: Write)

    private val queue = ArrayDeque<Write>()

    /** In the order of [RefusedWrite.retryAt], since all wait equally long. */
    private val refused = ArrayDeque<RefusedWrite>()

    fun clear() {
        queue.clear()
        refused.clear()
    }

    fun add(write: Write) {
        queue.add(write)
    }

    fun retryLater(write: Write) {
        refused.add(RefusedWrite(context.steady + REJECTED_RETRY_MS, write))
    }

    /** The first write, unless it does not fit: then none, since the order is kept. */
    fun next(room: TransactionBudget): Write? {
        while (refused.isNotEmpty() && context.steady >= refused.first().retryAt) add(refused.removeFirst().write)
        val write = queue.firstOrNull() ?: return null
        return if (write.fits(room)) queue.removeFirst() else null
    }
}
