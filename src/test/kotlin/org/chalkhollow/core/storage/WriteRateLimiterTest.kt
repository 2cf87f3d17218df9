package org.chalkhollow.core.storage

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Now
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class WriteRateLimiterTest {
    private val context = CoreContext(1).also { it.now = Now(1_000, 1_000) }
    private val limiter = WriteRateLimiter(context, changesPerSecond = 20.0).also { it.start() }

    private fun refillAt(moment: Long) {
        context.now = Now(moment, moment)
        limiter.refill()
    }

    @Test
    fun `it begins with half of a second's changes and never holds more than a second's`() {
        assertEquals(9.0, limiter.available)
        refillAt(1_250)
        assertEquals(13.5, limiter.available)
        refillAt(60_000)
        assertEquals(18.0, limiter.available)
    }

    @Test
    fun `changes are scarce below half of a second's`() {
        assertFalse(limiter.isScarce)
        limiter.spend(1)
        assertTrue(limiter.isScarce)
    }

    @Test
    fun `retries take what is left, but nothing in advance`() {
        limiter.spendOnRetry(4)
        assertEquals(5.0, limiter.available)
        limiter.spendOnRetry(8)
        assertEquals(0.0, limiter.available)
    }
}
