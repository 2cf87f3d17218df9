package org.chalkhollow.core.common

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class OverloadDetectorTest {
    private val overload = OverloadDetector()
    private var nowMs = 0L

    private fun tick(lateMs: Long) {
        overload.expectTick(nowMs + 100)
        nowMs += 100 + lateMs
        overload.onTick(nowMs)
    }

    @Test
    fun `one late tick causes overload, which ends within two seconds of punctual ticks`() {
        tick(3)
        assertFalse(overload.overloaded)
        tick(400)
        assertTrue(overload.overloaded)
        val lateAtMs = nowMs
        while (overload.overloaded) tick(0)
        assertTrue(nowMs - lateAtMs in 100..2000, "overload ended after ${nowMs - lateAtMs} ms")
    }

    @Test
    fun `a pause of a minute counts as a tick delay of one second`() {
        tick(60_000)
        assertEquals(1000, overload.tickDelayMs)
    }

    @Test
    fun `the first tick has no delay`() {
        overload.onTick(5000)
        assertEquals(0, overload.tickDelayMs)
    }
}
