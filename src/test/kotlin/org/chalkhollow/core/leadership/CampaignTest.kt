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

/** When a controller campaigns, and whether its campaign counts. */
class CampaignTest {
    @Test
    fun `no candidate writes the record without votes while a leader may hold follower leases`() {
        val candidate = LeadershipBench()
        val effects = candidate.watch(0, 20_000, revision = 4)
        assertTrue(effects.messages<PeerMessage.VoteRequest>().isNotEmpty(), "asked for no vote")
        assertFalse(effects.commits().isNotEmpty(), "wrote the record without a vote")
        val late = candidate.watch(20_100, candidate.options.outageLimitMs + 5_000, revision = 4)
        assertTrue(late.commits().isNotEmpty(), "never writes the record, even when no leader can be left")
    }

    /** Campaigns until it has a vote at 4.7 s, and returns the write of the record. */
    private fun LeadershipBench.campaign(): Effect.State {
        watch(0, 4_000, revision = 4)
        val request = watch(4_100, 4_600, revision = 4).messages<PeerMessage.VoteRequest>().last()
        return at(4_700) { onPeer(0, PeerMessage.VoteResponse(6, request.seq, true)) }.commits().single()
    }

    @Test
    fun `an election that is confirmed after its votes have expired is not acted on`() {
        val late = LeadershipBench()
        val lateCommit = late.campaign()
        late.at(4_700 + late.options.followerLeaseMs) {}
        late.answer(lateCommit, StateReply.Committed(9))
        assertEquals(0L, late.elected, "leads although its votes have expired")
        val quick = LeadershipBench()
        val quickCommit = quick.campaign()
        quick.at(4_800) {}
        quick.answer(quickCommit, StateReply.Committed(9))
        assertEquals(6L, quick.elected, "fencing token of the leader")
    }

    @Test
    fun `a record of an earlier incarnation that was never acted on gives no right to lead`() {
        val restarted = LeadershipBench()
        val neverActedOn = LeadershipRecord(LeadershipBench.LABEL, 76, 5, 0).value()
        val read = restarted.at(0).stateRequest()
        restarted.answer(read, StateReply.Found(KeyValue(LeadershipRecord.KEY, neverActedOn, 12)))
        assertFalse(
            restarted.context
                .drain()
                .commits()
                .isNotEmpty(),
            "wrote the record",
        )
    }

    @Test
    fun `a leader that stepped down is followed at once, its lease notwithstanding`() {
        fun asksForVotes(released: Boolean): Boolean {
            val follower = LeadershipBench()
            val late = ArrayList<Effect>()
            for (ms in 0L..5_000L step LeadershipBench.TICK_MS) {
                if (ms == 4_000L) follower.at(ms) { onPeer(0, PeerMessage.FollowerLeaseRequest(5, 1, true)) }
                if (ms == 4_100L && released) follower.at(ms) { onPeer(0, PeerMessage.LeadershipRelease(5)) }
                val effects = follower.at(ms)
                for (read in effects.reads()) {
                    follower.answer(read, follower.record("p0", 1, minOf(ms, 4_000L) + 1))
                }
                if (ms > 4_100L) late.addAll(effects + follower.context.drain())
            }
            return late.messages<PeerMessage.VoteRequest>().isNotEmpty()
        }
        assertTrue(asksForVotes(released = true), "waits for the lease of a leader that has stepped down")
        assertFalse(asksForVotes(released = false), "campaigns within the lease of a leader")
    }

    // A leader that had yet to read what was cancelled kept it running for as long as an outage lasted that began just
    // then.
    @Test
    fun `nobody campaigns before having read all that was written, neither with votes nor without`() {
        for (reads in listOf(false, true)) {
            val follower = LeadershipBench().also { it.reads = reads }
            val watched = follower.watch(0, 5_000, revision = 4)
            assertEquals(reads, watched.messages<PeerMessage.VoteRequest>().isNotEmpty(), "asked for votes")
            val restarted = LeadershipBench().also { it.reads = reads }
            restarted.answer(restarted.at(0).stateRequest(), restarted.record(LeadershipBench.LABEL, 76, 12))
            assertEquals(
                reads,
                restarted.context
                    .drain()
                    .commits()
                    .isNotEmpty(),
                "wrote the record",
            )
        }
    }

    @Test
    fun `a controller that led before its restart leads again at once under a new fencing token`() {
        val restarted = LeadershipBench()
        restarted.answer(restarted.at(0).stateRequest(), restarted.record(LeadershipBench.LABEL, 76, 12))
        val commit =
            restarted.context
                .drain()
                .stateRequest()
                .op as StateOp.Commit
        val written = commit.changes.single().value
        assertEquals(12L, commit.conditions.single().revision, "the record must not have changed since it was read")
        assertEquals(6L, written?.get("generation"), "fencing token")
    }
}
