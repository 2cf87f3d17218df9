package org.chalkhollow.core.fleet

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class OfferBackoffTest {
    private val backoff = OfferBackoff()
    private val offer = Offer(type = 0, zone = 1, spot = true)

    /** How long the offer is backed off after a failure at [nowMs]. */
    private fun backoffMsAfterFailure(nowMs: Long): Long {
        backoff.onUnavailable(offer, nowMs)
        return (nowMs..nowMs + 60_000).first { !backoff.isBackedOff(offer, it) } - nowMs
    }

    @Test
    fun `the backoff grows with each failure in a row up to a bound, and a rental resets it`() {
        assertEquals(
            listOf(5000L, 7500L, 11_250L, 16_875L, 20_000L, 20_000L),
            List(6) { backoffMsAfterFailure(it * 60_000L) },
        )
        backoff.reset(offer)
        assertEquals(5000, backoffMsAfterFailure(600_000))
    }

    @Test
    fun `a backoff applies to one offer and one term`() {
        backoff.onUnavailable(offer, 0)
        assertFalse(backoff.isBackedOff(offer.copy(spot = false), 1))
        assertTrue(backoff.isBackedOff(offer, 1))
        backoff.start()
        assertFalse(backoff.isBackedOff(offer, 1))
    }
}
