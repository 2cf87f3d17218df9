package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.Now
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.settings.OperatorSettings
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** What peers are granted, by a controller that was started long ago and has read the record with revision 4. */
class PeerRequestHandlerTest {
    private class NoSnapshot : Leadership.Events {
        override fun requestSnapshot(revision: Long) = Unit

        override fun snapshotComplete(revision: Long) = false

        override fun discardSnapshot() = Unit

        override fun onElected(fencingToken: Long, revision: Long, writes: Long, snapshotRevision: Long) = Unit

        override fun onSteppedDown() = Unit
    }

    private val context = CoreContext(1).also { it.now = Now(10_000, 10_000) }
    private val options = OperatorSettings()
    private val state = LeadershipState(context, startedAt = 0)
    private val watch = LeadershipRecordWatch(context, options, startedAt = 0)
    private val grantedLease = GrantedFollowerLease(context, options, processStartedAt = 0)
    private val handler =
        PeerRequestHandler(context, state, watch, grantedLease, HeartbeatTraffic(2), NoSnapshot())

    init {
        grantedLease.onRecordRead(10_000)
        watch.update(LeadershipRecord("p0", 1, 5, 9), 4)
    }

    private fun sent() = context.drain().map { (it as Effect.Send).message }

    private fun lease(fencingToken: Long): Boolean {
        handler.onLeaseRequest(0, PeerMessage.FollowerLeaseRequest(fencingToken, 1, ready = true))
        return (sent().single() as PeerMessage.FollowerLeaseResponse).granted
    }

    private fun vote(fencingToken: Long, revision: Long): Boolean {
        handler.onVoteRequest(1, PeerMessage.VoteRequest(fencingToken, revision, 1))
        return (sent().single() as PeerMessage.VoteResponse).granted
    }

    @Test
    fun `a leader with an older fencing token gets no lease and is not followed`() {
        assertTrue(lease(6))
        assertFalse(lease(5))
        assertEquals(6, state.fencingToken)
        assertEquals(0, state.reachableLeader())
    }

    @Test
    fun `a leader grants neither leases nor votes`() {
        state.becomeLeader(6)
        assertFalse(lease(7))
        assertFalse(vote(7, 4))
    }

    @Test
    fun `a candidate that saw an older record or asks for a known fencing token gets no vote`() {
        assertFalse(vote(6, 3))
        assertTrue(vote(6, 4))
        state.observe(7)
        assertFalse(vote(7, 4))
    }

    @Test
    fun `a release frees from the lease of the leader that sent it and of no other`() {
        assertTrue(lease(6))
        handler.onRelease(1, PeerMessage.LeadershipRelease(6))
        handler.onRelease(0, PeerMessage.LeadershipRelease(5))
        assertFalse(vote(7, 4))
        assertEquals(2, context.dropped.counts()[DroppedInput.MESSAGE_LATE])
        handler.onRelease(0, PeerMessage.LeadershipRelease(6))
        assertTrue(vote(7, 4))
        assertEquals(LeadershipState.NO_PEER, state.reachableLeader())
    }
}
