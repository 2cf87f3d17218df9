package org.chalkhollow.core.storage

import org.chalkhollow.core.common.CoreContext

/**
 * Splits transactions that were rejected or throttled. Owns the parts, and the number of changes per transaction that
 * the service accepts, learned from rejections. The parts keep the order of their writes and are sent before new
 * writes, so that writes never overtake each other. Called by [StateWriter].
 */
internal class TransactionSplitter(private val context: CoreContext, private val maxOps: Int) {
    private val parts = ArrayDeque<List<Write>>()
    private var nextPartAtMs = 0L

    /** Most changes per transaction, not counting the record. Increases with every commit. */
    var learnedMaxOps = Int.MAX_VALUE
        private set

    /** The part to send next, or null if there is none. */
    val nextPart: List<Write>? get() = parts.firstOrNull()

    /** Whether the delay after [splitForRate] has passed. */
    val canSendPart: Boolean get() = context.steady >= nextPartAtMs

    fun clear() {
        parts.clear()
        nextPartAtMs = 0
        learnedMaxOps = Int.MAX_VALUE
    }

    fun removeNextPart(): List<Write> = parts.removeFirst()

    /** [transaction] was rejected. A transaction with a single change shows nothing about the limit on changes. */
    fun learnFromRejection(transaction: Transaction) {
        if (transaction.size > 2) learnedMaxOps = maxOf(1, (transaction.size - 1) / 2)
    }

    fun onCommitted() {
        if (learnedMaxOps < maxOps) learnedMaxOps++
    }

    /** Halves a transaction that was rejected for its size. */
    fun splitForSize(transaction: Transaction) = split(transaction.parts) { (it + 1) / 2 }

    /**
     * Splits a transaction that was repeatedly not executed: it may have more changes than the service's rate limit
     * allows in a burst. The parts are sent after [retryMs].
     */
    fun splitForRate(transaction: Transaction, retryMs: Long) {
        nextPartAtMs = context.steady + retryMs
        split(transaction.parts) { maxOf(1, it / RATE_SPLIT_PARTS) }
    }

    private fun split(writes: List<Write>, writesPerPart: (Int) -> Int) {
        for (part in writes.chunked(writesPerPart(writes.size)).asReversed()) parts.addFirst(part)
    }

    private companion object {
        const val RATE_SPLIT_PARTS = 4
    }
}
