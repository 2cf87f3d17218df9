package org.chalkhollow.core.common

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** What late ticks tell of processor time. */
class OverloadDetectorTest {
    private val overload = OverloadDetector()
    private var t = 0L

    private fun tick(lateMs: Long) {
        overload.expectTick(t + 100)
        t += 100 + lateMs
        overload.onTick(t)
    }

    @Test
    fun `it is high as soon as a tick is late, and passes within two seconds of ticks in time`() {
        tick(3)
        assertFalse(overload.overloaded)
        tick(400)
        assertTrue(overload.overloaded)
        val lateAt = t
        while (overload.overloaded) tick(0)
        assertTrue(t - lateAt in 100..2000, "it took ${t - lateAt} ms to pass")
    }

    @Test
    fun `a process that stood still for a minute is not strained for a minute`() {
        tick(60_000)
        assertEquals(1000, overload.tickDelayMs)
    }

    @Test
    fun `the first tick tells nothing`() {
        overload.onTick(5000)
        assertEquals(0, overload.tickDelayMs)
    }
}
