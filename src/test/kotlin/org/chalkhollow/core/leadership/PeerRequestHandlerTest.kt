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

/** Tests what a controller grants that was started long ago and has read the record at revision 4. */
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
    private val state = LeadershipState(context, startedAtMs = 0)
    private val watch = LeadershipRecordWatch(context, options, startedAtMs = 0)
    private val grantedLease = GrantedFollowerLease(context, options, processStartedAtMs = 0)
    private val handler =
        PeerRequestHandler(context, state, watch, grantedLease, HeartbeatTraffic(2), NoSnapshot())

    init {
        grantedLease.onRecordRead(10_000)
        watch.update(LeadershipRecord("p0", 1, 5, 9), 4)
    }

    private fun sent() = context.drain().map { (it as Effect.Send).message }

    private fun grantsLease(fencingToken: Long): Boolean {
        handler.onLeaseRequest(0, PeerMessage.FollowerLeaseRequest(fencingToken, 1, ready = true))
        return (sent().single() as PeerMessage.FollowerLeaseResponse).granted
    }

    private fun grantsVote(fencingToken: Long, revision: Long): Boolean {
        handler.onVoteRequest(1, PeerMessage.VoteRequest(fencingToken, revision, 1))
        return (sent().single() as PeerMessage.VoteResponse).granted
    }

    @Test
    fun `a leader with an older fencing token gets no lease and is not recorded as the leader`() {
        assertTrue(grantsLease(6))
        assertFalse(grantsLease(5))
        assertEquals(6, state.fencingToken)
        assertEquals(0, state.reachableLeader())
    }

    @Test
    fun `a leader grants neither leases nor votes`() {
        state.becomeLeader(6)
        assertFalse(grantsLease(7))
        assertFalse(grantsVote(7, 4))
    }

    @Test
    fun `a candidate with an older record or a fencing token that is in use gets no vote`() {
        assertFalse(grantsVote(6, 3))
        assertTrue(grantsVote(6, 4))
        state.observe(7)
        assertFalse(grantsVote(7, 4))
    }

    @Test
    fun `a release ends the lease of the leader that sent it and no other`() {
        assertTrue(grantsLease(6))
        handler.onRelease(1, PeerMessage.LeadershipRelease(6))
        handler.onRelease(0, PeerMessage.LeadershipRelease(5))
        assertFalse(grantsVote(7, 4))
        assertEquals(2, context.dropped.counts()[DroppedInput.MESSAGE_LATE])
        handler.onRelease(0, PeerMessage.LeadershipRelease(6))
        assertTrue(grantsVote(7, 4))
        assertEquals(LeadershipState.NO_PEER, state.reachableLeader())
    }
}
