package org.chalkhollow.core.leadership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class HeartbeatTrafficTest {
    private val traffic = HeartbeatTraffic(2)

    @Test
    fun `heartbeats count within the window only`() {
        repeat(3) { traffic.received(1_500) }
        traffic.received(4_200)
        assertEquals(4, traffic.receivedWithinWindow(6_900))
        assertEquals(1, traffic.receivedWithinWindow(7_000))
        assertEquals(0, traffic.receivedWithinWindow(10_000))
    }

    @Test
    fun `a count of an earlier second in the same slot of the ring does not count`() {
        repeat(5) { traffic.received(1_000) }
        traffic.received(1_000 + HeartbeatTraffic.WINDOW_MS)
        assertEquals(1, traffic.receivedWithinWindow(1_000 + HeartbeatTraffic.WINDOW_MS))
    }

    @Test
    fun `workers reach only peers when these recently reported more than eight times as many heartbeats`() {
        traffic.received(1_000)
        traffic.onPeerCount(0, 4, 1_000)
        traffic.onPeerCount(1, 4, 1_000)
        assertFalse(traffic.workersReachOnlyPeers(1_000))
        traffic.onPeerCount(1, 5, 1_000)
        assertTrue(traffic.workersReachOnlyPeers(1_000))
        assertFalse(traffic.workersReachOnlyPeers(2_500), "the reports of the peers are too old")
    }

    @Test
    fun `two heartbeats at the peers are too few to conclude anything`() {
        traffic.onPeerCount(0, 2, 1_000)
        assertFalse(traffic.workersReachOnlyPeers(1_000))
    }
}
