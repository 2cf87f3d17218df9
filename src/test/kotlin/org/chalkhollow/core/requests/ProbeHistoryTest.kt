package org.chalkhollow.core.requests

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against a follower that refuses users because of a short disturbance, or that flaps. */
class ProbeHistoryTest {
    private val history = ProbeHistory()
    private var nowMs = 0L

    /** Adds outcomes, one a second: `+` for a response, `-` for none. */
    private fun add(outcomes: String) {
        for (outcome in outcomes) {
            nowMs += 1000
            if (outcome == '+') history.succeeded(nowMs) else history.failed(nowMs)
        }
    }

    private fun successesUntilBack(): Int {
        var count = 0
        while (!history.isResponding) {
            add("+")
            count++
        }
        return count
    }

    @Test
    fun `one or two lost probes change nothing`() {
        add("+--+++++++--+++")
        assertTrue(history.isResponding)
    }

    @Test
    fun `three failures in a row show that the peer does not respond`() {
        add("+---")
        assertFalse(history.isResponding)
    }

    @Test
    fun `a link that loses every second probe counts as not responding`() {
        add("+-+-+-+-+-")
        assertFalse(history.isResponding)
    }

    @Test
    fun `each further removal within two minutes doubles the successes that are needed, up to a limit`() {
        val needed =
            List(5) {
                add("---")
                successesUntilBack()
            }
        assertEquals(listOf(5, 10, 20, 40, 40), needed)
    }

    @Test
    fun `removals of more than two minutes ago do not count`() {
        repeat(3) {
            add("---")
            successesUntilBack()
        }
        nowMs += ProbeHistory.REMOVAL_MEMORY_MS
        add("---")
        assertEquals(ProbeHistory.MIN_SUCCESSES, successesUntilBack())
    }

    @Test
    fun `a failure begins the count of successes anew`() {
        add("---++++-")
        assertEquals(ProbeHistory.MIN_SUCCESSES, successesUntilBack())
    }
}
