package org.chalkhollow.core.storage

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.MS_PER_S

/**
 * A token bucket for the changes that the state service takes per second; the leadership record counts as one in each
 * transaction. It holds at most what one second allows. Called by [StateWriter].
 */
internal class WriteRateLimiter(private val context: CoreContext, changesPerSecond: Double) {
    private val capacity = changesPerSecond * RATE_SHARE
    private var refilledAt = 0L

    /** How many changes may be sent now. */
    var available = 0.0
        private set

    /** Whether less than half of a second's changes is left. */
    val isScarce: Boolean get() = available < capacity / 2

    /** Begins with half: the leader before us may have spent from this second's. */
    fun start() {
        available = capacity / 2
        refilledAt = context.steady
    }

    fun refill() {
        val now = context.steady
        available = minOf(capacity, available + (now - refilledAt) * capacity / MS_PER_S)
        refilledAt = now
    }

    /** A new transaction of [changes] is sent. */
    fun spend(changes: Int) {
        available -= changes
    }

    /** A transaction of [changes] failed and is sent again; it counts as well, as far as there is anything left. */
    fun spendOnRetry(changes: Int) {
        available = maxOf(0.0, available - changes)
    }

    private companion object {
        /** Below the rate that the service allows, since requests that were held up on their way arrive together. */
        const val RATE_SHARE = 0.9
    }
}
