package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.common.minusClockDrift
import org.chalkhollow.peer.PeerMessage
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class FollowerLeasesTest {
    private val context = CoreContext(1)
    private val leases = FollowerLeases(context, PEERS, LEASE_MS)

    private fun requestAt(ms: Long): List<PeerMessage.FollowerLeaseRequest> {
        context.now = Now(ms, ms)
        leases.requestIfDue(fencingToken = 5, ready = true)
        return context.drain().map { (it as Effect.Send).message as PeerMessage.FollowerLeaseRequest }
    }

    private fun granted(seq: Long, served: Boolean = false) =
        PeerMessage.FollowerLeaseResponse(5, seq, granted = true, stateServed = served)

    @Test
    fun `leases are requested from every peer four times within a lease`() {
        assertEquals(PEERS, requestAt(0).size)
        assertEquals(0, requestAt(LEASE_MS / 4 - 1).size)
        assertEquals(PEERS, requestAt(LEASE_MS / 4).size)
    }

    @Test
    fun `leases of a majority count from when they were requested`() {
        val first = requestAt(0).first().seq
        val second = requestAt(1_000).first().seq
        leases.accept(0, granted(second))
        assertTrue(leases.majorityUntilMs() < 0, "two of five are not a majority")
        leases.accept(1, granted(first))
        assertEquals(minusClockDrift(LEASE_MS), leases.majorityUntilMs())
        leases.accept(1, granted(second))
        assertEquals(1_000 + minusClockDrift(LEASE_MS), leases.majorityUntilMs())
    }

    @Test
    fun `a denied request does not shorten a lease that was granted before`() {
        val seq = requestAt(0).first().seq
        for (peer in 0..1) leases.accept(peer, granted(seq))
        leases.accept(0, granted(seq).copy(granted = false))
        assertEquals(minusClockDrift(LEASE_MS), leases.majorityUntilMs())
    }

    @Test
    fun `a response to a request whose time is no longer known is not accepted`() {
        val first = requestAt(0).first().seq
        for (i in 1L..63L) requestAt(i * LEASE_MS)
        assertTrue(leases.accept(0, granted(first)))
        requestAt(64 * LEASE_MS)
        assertFalse(leases.accept(0, granted(first)))
    }

    @Test
    fun `a peer counts as served from when the lease was requested, until the next term`() {
        val seq = requestAt(1_000).first().seq
        leases.accept(3, granted(seq, served = true))
        assertTrue(leases.anyPeerServedAfter(999))
        assertFalse(leases.anyPeerServedAfter(1_000))
        leases.reset()
        assertFalse(leases.anyPeerServedAfter(0))
    }

    @Test
    fun `a controller without peers needs no follower lease`() {
        assertEquals(Long.MAX_VALUE, FollowerLeases(context, 0, LEASE_MS).majorityUntilMs())
    }

    private companion object {
        const val PEERS = 4
        const val LEASE_MS = 1_400L
    }
}
