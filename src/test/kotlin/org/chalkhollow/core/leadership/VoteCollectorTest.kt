package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.Now
import org.chalkhollow.peer.PeerMessage
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Tests votes of peers that respond slowly or not at all. */
class VoteCollectorTest {
    private val context = CoreContext(1)
    private val votes = VoteCollector(context, 2, FOLLOWER_LEASE_MS)
    private val record = LeadershipRecord("b", 1, 4, 7)

    /**
     * Each request is granted [responseMs] later. Returns when the first vote counted, and the number of votes then.
     */
    private fun firstVote(responseMs: Long): Pair<Long, Int> {
        val responses = ArrayDeque<Pair<Long, PeerMessage.VoteResponse>>()
        for (t in 0L..10_000L step TICK_MS) {
            context.now = Now(t, t)
            while (responses.isNotEmpty() && responses.first().first <= t) {
                val vote = responses.removeFirst().second
                if (votes.isForLastRequest(vote)) return t to votes.add(0)
                votes.onLateVote()
            }
            votes.requestVotes(record, 3)
            val requests = context.drain().filterIsInstance<Effect.Send>()
            if (requests.isEmpty()) continue
            assertEquals(2, requests.size)
            responses.add(t + responseMs to PeerMessage.VoteResponse(record.fencingToken + 1, votes.lastSeq, true))
        }
        return Long.MAX_VALUE to 0
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 100, 250, 400, 550])
    fun `votes count if responses take less than the longest time between two requests`(responseMs: Long) {
        val (atMs, count) = firstVote(responseMs)
        assertEquals(2, count, "this controller's own vote and one more")
        assertTrue(atMs <= responseMs * 2 + 1200, "the first vote counted after $atMs ms")
        votes.relyOnVotes()
        assertTrue(votes.areVotesValid)
    }

    @Test
    fun `peers that do not respond get requests at the shortest interval`() {
        var requestCount = 0
        for (t in 0L..3000L step TICK_MS) {
            context.now = Now(t, t)
            votes.requestVotes(record, 3)
            requestCount += context.drain().size / 2
        }
        assertEquals(21, requestCount)
    }

    private companion object {
        const val FOLLOWER_LEASE_MS = 1400L
        const val TICK_MS = 50L
    }
}
