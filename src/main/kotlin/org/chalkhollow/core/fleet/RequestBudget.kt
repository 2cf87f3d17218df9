package org.chalkhollow.core.fleet

import org.chalkhollow.core.common.MS_PER_S

/** Owns how many requests may be sent to the cloud now: a token bucket that holds one second's requests at most. */
class RequestBudget(private val requestsPerS: Double) {
    private var availableRequests = 1.0
    private var refilledAtMs = 0L

    fun refill(nowMs: Long) {
        val newRequests = (nowMs - refilledAtMs) * requestsPerS * BUDGET_FRACTION / MS_PER_S
        availableRequests = minOf(requestsPerS, availableRequests + newRequests)
        refilledAtMs = nowMs
    }

    /** Takes one request from the budget; false if none is left now. */
    fun trySpend(): Boolean {
        if (availableRequests < 1.0) return false
        availableRequests -= 1.0
        return true
    }

    private companion object {
        /** Stays below the rate that the cloud allows, since requests that are delayed on their way arrive together. */
        const val BUDGET_FRACTION = 0.8
    }
}
