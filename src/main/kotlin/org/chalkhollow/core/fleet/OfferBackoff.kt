package org.chalkhollow.core.fleet

/** Owns until when offers that the cloud refused are not asked for again: for longer after each refusal in a row. */
class OfferBackoff {
    private val refusedUntil = HashMap<Offer, Long>()
    private val nextWaitMs = HashMap<Offer, Long>()

    fun start() {
        refusedUntil.clear()
        nextWaitMs.clear()
    }

    fun isRefused(offer: Offer, now: Long): Boolean = now < (refusedUntil[offer] ?: 0)

    fun onRefused(offer: Offer, now: Long) {
        val waitMs = minOf(MAX_WAIT_MS, nextWaitMs[offer] ?: FIRST_WAIT_MS)
        refusedUntil[offer] = now + waitMs
        nextWaitMs[offer] = waitMs + waitMs / 2
    }

    fun onGranted(offer: Offer) {
        nextWaitMs.remove(offer)
    }

    private companion object {
        const val FIRST_WAIT_MS = 5000L
        const val MAX_WAIT_MS = 20_000L
    }
}
