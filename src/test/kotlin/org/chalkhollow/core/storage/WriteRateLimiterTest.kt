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

    private fun refillAt(ms: Long) {
        context.now = Now(ms, ms)
        limiter.refill()
    }

    @Test
    fun `the limiter starts with half of a second's changes and never holds more than a second's`() {
        assertEquals(9.0, limiter.available)
        refillAt(1_250)
        assertEquals(13.5, limiter.available)
        refillAt(60_000)
        assertEquals(18.0, limiter.available)
    }

    @Test
    fun `changes are scarce when less than half of a second's are left`() {
        assertFalse(limiter.isScarce)
        limiter.spend(1)
        assertTrue(limiter.isScarce)
    }

    @Test
    fun `retries use up available changes but never take them below 0`() {
        limiter.spendOnRetry(4)
        assertEquals(5.0, limiter.available)
        limiter.spendOnRetry(8)
        assertEquals(0.0, limiter.available)
    }
}
