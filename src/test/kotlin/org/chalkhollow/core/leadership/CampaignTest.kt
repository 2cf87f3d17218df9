package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.StateOp
import org.chalkhollow.core.common.StateReply
import org.chalkhollow.model.KeyValue
import org.chalkhollow.peer.PeerMessage
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tests when a controller campaigns, and when a committed campaign makes it the leader. */
class CampaignTest {
    @Test
    fun `a candidate does not write the record without votes while a leader may hold follower leases`() {
        val candidate = LeadershipHarness()
        val effects = candidate.watch(0, 20_000, revision = 4)
        assertTrue(effects.messages<PeerMessage.VoteRequest>().isNotEmpty(), "requested no votes")
        assertFalse(effects.commits().isNotEmpty(), "wrote the record without a vote")
        val afterLimit = candidate.watch(20_100, candidate.options.outageLimitMs + 5_000, revision = 4)
        assertTrue(afterLimit.commits().isNotEmpty(), "did not write the record although no leader can be left")
    }

    /** Lets a peer vote for this controller at 4.7 s. Returns the write of the record that follows. */
    private fun LeadershipHarness.campaign(): Effect.State {
        watch(0, 4_000, revision = 4)
        val request = watch(4_100, 4_600, revision = 4).messages<PeerMessage.VoteRequest>().last()
        return at(4_700) { onPeer(0, PeerMessage.VoteResponse(6, request.seq, true)) }.commits().single()
    }

    @Test
    fun `a campaign that is committed after its votes have expired does not make a leader`() {
        val late = LeadershipHarness()
        val lateCommit = late.campaign()
        late.at(4_700 + late.options.followerLeaseMs) {}
        late.reply(lateCommit, StateReply.Committed(9))
        assertEquals(0L, late.electedFencingToken, "leads although its votes have expired")
        val onTime = LeadershipHarness()
        val onTimeCommit = onTime.campaign()
        onTime.at(4_800) {}
        onTime.reply(onTimeCommit, StateReply.Committed(9))
        assertEquals(6L, onTime.electedFencingToken, "fencing token of the leader")
    }

    @Test
    fun `a record of an earlier incarnation without writes does not let this controller lead without votes`() {
        val restarted = LeadershipHarness()
        val withoutWrites = LeadershipRecord(LeadershipHarness.LABEL, 76, 5, 0).value()
        val read = restarted.at(0).stateCall()
        restarted.reply(read, StateReply.Found(KeyValue(LeadershipRecord.KEY, withoutWrites, 12)))
        assertFalse(
            restarted.context
                .drain()
                .commits()
                .isNotEmpty(),
            "wrote the record",
        )
    }

    @Test
    fun `votes are requested as soon as a leader releases its lease, even if it has not expired`() {
        fun requestsVotes(isReleased: Boolean): Boolean {
            val follower = LeadershipHarness()
            val effectsAfterRelease = ArrayList<Effect>()
            for (ms in 0L..5_000L step LeadershipHarness.TICK_MS) {
                if (ms == 4_000L) follower.at(ms) { onPeer(0, PeerMessage.FollowerLeaseRequest(5, 1, true)) }
                if (ms == 4_100L && isReleased) follower.at(ms) { onPeer(0, PeerMessage.LeadershipRelease(5)) }
                val effects = follower.at(ms)
                for (read in effects.reads()) {
                    follower.reply(read, follower.record("p0", 1, minOf(ms, 4_000L) + 1))
                }
                if (ms > 4_100L) effectsAfterRelease.addAll(effects + follower.context.drain())
            }
            return effectsAfterRelease.messages<PeerMessage.VoteRequest>().isNotEmpty()
        }
        assertTrue(requestsVotes(isReleased = true), "waits for the lease of a leader that has stepped down")
        assertFalse(requestsVotes(isReleased = false), "campaigns within the lease of a leader")
    }

    // If an outage begins before a new leader has read the cancellations, it keeps cancelled tasks running until the
    // outage ends.
    @Test
    fun `no controller campaigns without a complete snapshot, neither with votes nor without`() {
        for (canReadSnapshot in listOf(false, true)) {
            val follower = LeadershipHarness().also { it.canReadSnapshot = canReadSnapshot }
            val watched = follower.watch(0, 5_000, revision = 4)
            assertEquals(canReadSnapshot, watched.messages<PeerMessage.VoteRequest>().isNotEmpty(), "requested votes")
            val restarted = LeadershipHarness().also { it.canReadSnapshot = canReadSnapshot }
            restarted.reply(restarted.at(0).stateCall(), restarted.record(LeadershipHarness.LABEL, 76, 12))
            assertEquals(
                canReadSnapshot,
                restarted.context
                    .drain()
                    .commits()
                    .isNotEmpty(),
                "wrote the record",
            )
        }
    }

    @Test
    fun `a controller that led before its restart campaigns at once with a new fencing token`() {
        val restarted = LeadershipHarness()
        restarted.reply(restarted.at(0).stateCall(), restarted.record(LeadershipHarness.LABEL, 76, 12))
        val commit =
            restarted.context
                .drain()
                .stateCall()
                .op as StateOp.Commit
        val written = commit.changes.single().value
        assertEquals(12L, commit.conditions.single().revision, "the record must not have changed since it was read")
        assertEquals(6L, written?.get("generation"), "fencing token")
    }
}
