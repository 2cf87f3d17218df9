package org.chalkhollow.core.fleet

import org.chalkhollow.core.common.MS_PER_S

/** Owns how many requests may be sent to the cloud now: a token bucket that holds those of one second at most. */
class RequestBudget(private val requestsPerS: Double) {
    private var available = 1.0
    private var refilledAt = 0L

    fun refill(now: Long) {
        val earned = (now - refilledAt) * requestsPerS * BUDGET_SHARE / MS_PER_S
        available = minOf(requestsPerS, available + earned)
        refilledAt = now
    }

    /** Takes one request off the budget; false if there is none left now. */
    fun trySpend(): Boolean {
        if (available < 1.0) return false
        available -= 1.0
        return true
    }

    private companion object {
        /** Below the rate that the cloud allows, since requests that were held up on their way arrive together. */
        const val BUDGET_SHARE = 0.8
    }
}
