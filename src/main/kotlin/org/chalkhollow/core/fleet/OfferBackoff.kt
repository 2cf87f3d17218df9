package org.chalkhollow.core.fleet

/**
 * Owns until when offers are not requested again after the cloud rejected them or had too few machines. The backoff
 * grows with each such reply in a row.
 */
class OfferBackoff {
    private val backedOffUntilMs = HashMap<Offer, Long>()
    private val nextBackoffMs = HashMap<Offer, Long>()

    fun start() {
        backedOffUntilMs.clear()
        nextBackoffMs.clear()
    }

    fun isBackedOff(offer: Offer, nowMs: Long): Boolean = nowMs < (backedOffUntilMs[offer] ?: 0)

    fun onUnavailable(offer: Offer, nowMs: Long) {
        val backoffMs = minOf(MAX_BACKOFF_MS, nextBackoffMs[offer] ?: FIRST_BACKOFF_MS)
        backedOffUntilMs[offer] = nowMs + backoffMs
        nextBackoffMs[offer] = backoffMs + backoffMs / 2
    }

    fun reset(offer: Offer) {
        nextBackoffMs.remove(offer)
    }

    private companion object {
        const val FIRST_BACKOFF_MS = 5000L
        const val MAX_BACKOFF_MS = 20_000L
    }
}
