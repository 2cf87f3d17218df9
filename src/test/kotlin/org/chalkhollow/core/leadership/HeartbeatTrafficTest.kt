package org.chalkhollow.core.leadership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Which controllers the workers reach, by the heartbeats of the last seconds. */
class HeartbeatTrafficTest {
    private val traffic = HeartbeatTraffic(2)

    @Test
    fun `heartbeats count for the window and no longer`() {
        repeat(3) { traffic.received(1_500) }
        traffic.received(4_200)
        assertEquals(4, traffic.receivedWithinWindow(6_900))
        assertEquals(1, traffic.receivedWithinWindow(7_000))
        assertEquals(0, traffic.receivedWithinWindow(10_000))
    }

    @Test
    fun `a count of an earlier second in the same place of the ring does not count`() {
        repeat(5) { traffic.received(1_000) }
        traffic.received(1_000 + HeartbeatTraffic.WINDOW_MS)
        assertEquals(1, traffic.receivedWithinWindow(1_000 + HeartbeatTraffic.WINDOW_MS))
    }

    @Test
    fun `workers reach only peers when an eighth as many come here, and peers told so lately`() {
        traffic.received(1_000)
        traffic.receivedByPeer(0, 4, 1_000)
        traffic.receivedByPeer(1, 4, 1_000)
        assertFalse(traffic.workersReachOnlyPeers(1_000))
        traffic.receivedByPeer(1, 5, 1_000)
        assertTrue(traffic.workersReachOnlyPeers(1_000))
        assertFalse(traffic.workersReachOnlyPeers(2_500), "what peers told is old")
    }

    @Test
    fun `two heartbeats at the peers prove nothing`() {
        traffic.receivedByPeer(0, 2, 1_000)
        assertFalse(traffic.workersReachOnlyPeers(1_000))
    }
}
