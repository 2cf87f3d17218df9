package org.chalkhollow.core.jobs

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.EncodedSize
import org.chalkhollow.core.storage.StateWriter
import org.chalkhollow.core.storage.TransactionBudget
import org.chalkhollow.core.storage.Write

/** Delay after which a write that the state service rejected is retried. */
internal const val REJECTED_RETRY_MS = 3000L

/** Whether the write fits into what is left of the transaction's budget. */
internal fun Write.fits(budget: TransactionBudget): Boolean =
    changes.size <= budget.ops && changes.sumOf { EncodedSize.of(it) } <= budget.bytes

/**
 * Owns the writes about jobs that come before all others, in order, since users wait for acceptances and cancellations.
 * Writes that the state service rejected and that must not be lost are queued again after [REJECTED_RETRY_MS]. Filled
 * by [JobTable], [JobCancellation] and [KeyGarbageCollector], emptied by the [StateWriter].
 */
class UrgentWrites(private val context: CoreContext) {
    private class RejectedWrite(val retryAtMs: Long, val write: Write)

    private val queue = ArrayDeque<Write>()

    /** Ordered by [RejectedWrite.retryAtMs], since all wait equally long. */
    private val rejected = ArrayDeque<RejectedWrite>()

    fun clear() {
        queue.clear()
        rejected.clear()
    }

    fun add(write: Write) {
        queue.add(write)
    }

    fun retryLater(write: Write) {
        rejected.add(RejectedWrite(context.steady + REJECTED_RETRY_MS, write))
    }

    /** Returns the first write, or null if it does not fit: later writes must not overtake it. */
    fun next(budget: TransactionBudget): Write? {
        while (rejected.isNotEmpty() && context.steady >= rejected.first().retryAtMs) add(rejected.removeFirst().write)
        val write = queue.firstOrNull() ?: return null
        return if (write.fits(budget)) queue.removeFirst() else null
    }
}
