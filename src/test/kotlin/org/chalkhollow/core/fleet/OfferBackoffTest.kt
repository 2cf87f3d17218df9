package org.chalkhollow.core.fleet

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class OfferBackoffTest {
    private val backoff = OfferBackoff()
    private val offer = Offer(type = 0, zone = 1, spot = true)

    /** How long the offer is not asked for after a refusal at [now]. */
    private fun waitAfterRefusal(now: Long): Long {
        backoff.onRefused(offer, now)
        return (now..now + 60_000).first { !backoff.isRefused(offer, it) } - now
    }

    @Test
    fun `an offer is left alone for longer after each refusal in a row, up to a bound`() {
        assertEquals(
            listOf(5000L, 7500L, 11_250L, 16_875L, 20_000L, 20_000L),
            List(6) { waitAfterRefusal(it * 60_000L) },
        )
        backoff.onGranted(offer)
        assertEquals(5000, waitAfterRefusal(600_000))
    }

    @Test
    fun `a refusal holds for one offer and one term`() {
        backoff.onRefused(offer, 0)
        assertFalse(backoff.isRefused(offer.copy(spot = false), 1))
        assertTrue(backoff.isRefused(offer, 1))
        backoff.start()
        assertFalse(backoff.isRefused(offer, 1))
    }
}
