package org.chalkhollow.core.storage

import org.chalkhollow.core.common.CoreContext

/**
 * Owns what refused transactions were split into, and how many changes the service takes at once as far as refusals
 * tell. The parts keep the order of their writes and are sent before anything new, so that writes never overtake each
 * other. Called by [StateWriter].
 */
internal class RefusedTransactions(private val context: CoreContext, private val maxOps: Int) {
    private val parts = ArrayDeque<List<Write>>()
    private var nextPartAt = 0L

    /** Most changes beside the record; grows again with every transaction that is taken. */
    var learnedMaxOps = Int.MAX_VALUE
        private set

    /** The part to send next, or null when there is none. */
    val nextPart: List<Write>? get() = parts.firstOrNull()

    /** Whether parts may be sent yet. */
    val mayRetry: Boolean get() = context.steady >= nextPartAt

    fun clear() {
        parts.clear()
        nextPartAt = 0
        learnedMaxOps = Int.MAX_VALUE
    }

    fun removeNextPart(): List<Write> = parts.removeFirst()

    /** [transaction] was refused for what it is; one of a single change tells nothing about how many are too many. */
    fun learnFromRefusal(transaction: Transaction) {
        if (transaction.writes.size > 1 || transaction.size > 2) learnedMaxOps = maxOf(1, (transaction.size - 1) / 2)
    }

    fun onCommitted() {
        if (learnedMaxOps < maxOps) learnedMaxOps++
    }

    /** Halves what was refused for its size. */
    fun splitForSize(transaction: Transaction) = split(transaction, (transaction.writes.size + 1) / 2)

    /**
     * Splits what was not executed again and again: it may ask for more at once than the service's rate allows in a
     * burst.
     */
    fun splitForRate(transaction: Transaction, retryMs: Long) {
        nextPartAt = context.steady + retryMs
        split(transaction, maxOf(1, transaction.writes.size / RATE_SPLIT_PARTS))
    }

    private fun split(transaction: Transaction, writesPerPart: Int) {
        for (part in transaction.writes.chunked(writesPerPart).asReversed()) parts.addFirst(part)
    }

    private companion object {
        const val RATE_SPLIT_PARTS = 4
    }
}
