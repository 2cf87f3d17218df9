package org.chalkhollow.core.storage

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.MS_PER_S

/**
 * A token bucket for the changes that the state service accepts per second; the leadership record is one change in each
 * transaction. Its capacity is one second's changes. Called by [StateWriter].
 */
internal class WriteRateLimiter(private val context: CoreContext, changesPerSecond: Double) {
    private val capacity = changesPerSecond * RATE_FRACTION
    private var refilledAtMs = 0L

    /** How many changes may be sent now. */
    var available = 0.0
        private set

    /** Whether the bucket is less than half full. */
    val isScarce: Boolean get() = available < capacity / 2

    /** Starts half full, because the previous leader may have used up some of this second's changes. */
    fun start() {
        available = capacity / 2
        refilledAtMs = context.steady
    }

    fun refill() {
        val nowMs = context.steady
        available = minOf(capacity, available + (nowMs - refilledAtMs) * capacity / MS_PER_S)
        refilledAtMs = nowMs
    }

    /** A new transaction with [changes] changes is sent. */
    fun spend(changes: Int) {
        available -= changes
    }

    /** A transaction with [changes] changes failed and is sent again. It is counted again, but not below 0. */
    fun spendOnRetry(changes: Int) {
        available = maxOf(0.0, available - changes)
    }

    private companion object {
        /** Below the service's rate limit, because requests that are delayed on their way can arrive together. */
        const val RATE_FRACTION = 0.9
    }
}
