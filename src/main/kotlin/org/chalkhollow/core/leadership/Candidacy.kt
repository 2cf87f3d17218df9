package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.NEVER
import org.chalkhollow.core.common.minusClockDrift
import org.chalkhollow.peer.PeerMessage

/**
 * Owns the votes that this controller has asked for. They count for one asking only, from when that was sent, so they
 * end here before those who gave them may promise another leader. Called by [Leadership].
 */
class Candidacy(private val context: CoreContext, private val peers: Int, private val followerLeaseMs: Long) {
    /** Begins at a random number: votes for an earlier life must not count. */
    private val firstSeq = context.random.nextLong(FIRST_SEQ_BOUND)
    private var seq = firstSeq
    private var askedAt = NEVER
    private val votes = BooleanArray(peers)

    /**
     * Grows while votes come for an asking before the last: only those for the last count, so asking again sooner than
     * slow controllers answer would make every vote come too late. Two of them once asked each other for nine seconds.
     */
    private var retryMs = RETRY_MS

    /** When the votes that a candidacy rests on were asked for; [NEVER] when it rests on none. */
    private var usedAt = NEVER

    /** Asks for votes to follow [record], unless it has just done so. */
    fun askVotes(record: LeadershipRecord, revision: Long) {
        val t = context.steady
        if (t - askedAt < retryMs) return
        if (t - askedAt > 2 * MAX_RETRY_MS) retryMs = RETRY_MS
        askedAt = t
        seq++
        votes.fill(false)
        val ask = PeerMessage.VoteRequest(record.fencingToken + 1, revision, seq)
        for (p in 0 until peers) context.emit(Effect.Send(p, ask))
    }

    /** Whether [vote] answers what this life of the process has asked. */
    fun isOurs(vote: PeerMessage.VoteResponse): Boolean = vote.seq in firstSeq..seq

    /** The number of the last asking. */
    val lastSeq: Long get() = seq

    /** Whether [vote] answers what was asked last. */
    fun isCurrent(vote: PeerMessage.VoteResponse): Boolean = vote.seq == seq

    /** A vote came that answers an asking before the last: the next one is to leave more time. */
    fun cameLate() {
        retryMs = minOf(retryMs * 2, MAX_RETRY_MS)
    }

    /** Takes in a granted vote; returns how many there are, our own counted. */
    fun take(from: Int): Int {
        if (votes[from]) context.dropped.count(DroppedInput.MESSAGE_REPEATED)
        votes[from] = true
        return votes.count { it } + 1
    }

    /** Stands on the votes that were asked for last. */
    fun useVotes() {
        usedAt = askedAt
    }

    fun useNone() {
        usedAt = NEVER
    }

    /** Whether the votes that were used, if any, bind those who gave them still. */
    val votesHold: Boolean get() = usedAt == NEVER || context.steady - usedAt < minusClockDrift(followerLeaseMs)

    /** The candidacy is over; votes may be asked for at once. */
    fun end() {
        askedAt = NEVER
    }

    private companion object {
        const val FIRST_SEQ_BOUND = 1L shl 61
        const val RETRY_MS = 150L

        /** Votes hold for a little more than twice as long. */
        const val MAX_RETRY_MS = 600L
    }
}
