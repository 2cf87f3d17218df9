package org.chalkhollow.core.leadership

import org.chalkhollow.peer.PeerMessage
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tests how long a leader may act, and when it steps down. */
class LeadershipTest {
    @Test
    fun `a leader may act for a leader lease after a write, and after that only on follower leases`() {
        val leader = LeadershipHarness().also { it.becomeLeader() }
        val requests = leader.context.drain().messages<PeerMessage.FollowerLeaseRequest>()
        assertEquals(1L, leader.electedFencingToken, "fencing token of the first leader")
        leader.at(1_900)
        assertTrue(leader.leadership.mayActAsLeader(), "within the leader lease")
        leader.at(2_100)
        assertFalse(leader.leadership.mayActAsLeader(), "after the leader lease")
        // A follower lease runs from when it was requested, not from when it was granted.
        leader.at(2_100) { onPeer(0, PeerMessage.FollowerLeaseResponse(1, requests.first().seq, true, false)) }
        assertFalse(leader.leadership.mayActAsLeader(), "on a follower lease that has expired")
        val renewal = leader.at(2_500).messages<PeerMessage.FollowerLeaseRequest>().first()
        leader.at(2_600) { onPeer(0, PeerMessage.FollowerLeaseResponse(1, renewal.seq, true, false)) }
        assertTrue(leader.leadership.mayActAsLeader(), "within a follower lease")
        leader.at(2_500 + leader.options.followerLeaseMs)
        assertFalse(leader.leadership.mayActAsLeader(), "after the follower lease")
    }

    /** Lets one peer, which the state service serves until [servedUntilMs], grant its follower leases. */
    private fun LeadershipHarness.renewLeases(fromMs: Long, toMs: Long, servedUntilMs: Long) {
        for (ms in fromMs..toMs step LeadershipHarness.TICK_MS) {
            val requests = at(ms).messages<PeerMessage.FollowerLeaseRequest>()
            val isServed = ms - servedUntilMs < options.leaderRenewMs * 2 + 200
            for (request in requests.take(1)) {
                at(ms) { onPeer(0, PeerMessage.FollowerLeaseResponse(1, request.seq, true, isServed)) }
            }
        }
    }

    @Test
    fun `a leader steps down when the state service serves only its peers, but not when an outage begins`() {
        val outage = LeadershipHarness().also { it.becomeLeader() }
        outage.renewLeases(100, 3000, servedUntilMs = 9000)
        outage.leadership.onWriteFailed()
        outage.renewLeases(3000, 20_000, servedUntilMs = 3000)
        assertFalse(outage.steppedDown, "stepped down in an outage")
        assertTrue(outage.leadership.mayActAsLeader(), "lost its follower leases in an outage")
        val unserved = LeadershipHarness().also { it.becomeLeader() }
        unserved.renewLeases(100, 3000, servedUntilMs = 90_000)
        unserved.leadership.onWriteFailed()
        unserved.renewLeases(3000, 6000, servedUntilMs = 90_000)
        assertTrue(unserved.steppedDown, "still leads although its peers are served")
    }

    /** When a leader steps down that is not served, while a peer is served that is [prepared] to take over or not. */
    private fun steppedDownAtMs(prepared: Boolean): Long {
        val leader = LeadershipHarness().also { it.becomeLeader() }
        leader.leadership.onWriteFailed()
        for (ms in 100L..9000L step LeadershipHarness.TICK_MS) {
            val requests = leader.at(ms).messages<PeerMessage.FollowerLeaseRequest>()
            if (leader.steppedDown) return ms
            for (request in requests.take(1)) {
                val response = PeerMessage.FollowerLeaseResponse(1, request.seq, true, true, prepared = prepared)
                leader.at(ms) { onPeer(0, response) }
            }
        }
        return Long.MAX_VALUE
    }

    // No controller renews the workers' leases between a step-down and the next election. If an outage begins in
    // between, all of them expire.
    @Test
    fun `a leader that is not served waits up to 800 ms for a prepared peer before it steps down`() {
        val preparedMs = steppedDownAtMs(prepared = true)
        val unpreparedMs = steppedDownAtMs(prepared = false)
        assertTrue(
            unpreparedMs in preparedMs + 800..preparedMs + 1000,
            "stepped down at $preparedMs ms and at $unpreparedMs ms",
        )
    }
}
