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

/** Votes of controllers that answer slowly. */
class VoteCollectorTest {
    private val context = CoreContext(1)
    private val votes = VoteCollector(context, 2, FOLLOWER_LEASE_MS)
    private val record = LeadershipRecord("b", 1, 4, 7)

    /** Asks at each tick; each request is granted [answersAfterMs] later. Returns when a vote counted, and how many. */
    private fun firstVote(answersAfterMs: Long): Pair<Long, Int> {
        val answers = ArrayDeque<Pair<Long, PeerMessage.VoteResponse>>()
        for (t in 0L..10_000L step TICK_MS) {
            context.now = Now(t, t)
            while (answers.isNotEmpty() && answers.first().first <= t) {
                val vote = answers.removeFirst().second
                if (votes.answersLastRequest(vote)) return t to votes.add(0)
                votes.onLateAnswer()
            }
            votes.requestVotes(record, 3)
            val asked = context.drain().filterIsInstance<Effect.Send>()
            if (asked.isEmpty()) continue
            assertEquals(2, asked.size)
            answers.add(t + answersAfterMs to PeerMessage.VoteResponse(record.fencingToken + 1, votes.lastSeq, true))
        }
        return Long.MAX_VALUE to 0
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 100, 250, 400, 550])
    fun `votes count while they take less than the longest time between two requests`(answersAfterMs: Long) {
        val (at, count) = firstVote(answersAfterMs)
        assertEquals(2, count, "our own and one more")
        assertTrue(at <= answersAfterMs * 2 + 1200, "the first vote counted after $at ms")
        votes.relyOnVotes()
        assertTrue(votes.stillBind)
    }

    @Test
    fun `peers that do not answer are asked as often as ever`() {
        var asked = 0
        for (t in 0L..3000L step TICK_MS) {
            context.now = Now(t, t)
            votes.requestVotes(record, 3)
            asked += context.drain().size / 2
        }
        assertEquals(21, asked)
    }

    private companion object {
        const val FOLLOWER_LEASE_MS = 1400L
        const val TICK_MS = 50L
    }
}
