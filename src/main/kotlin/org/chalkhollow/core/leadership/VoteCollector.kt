package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.NEVER
import org.chalkhollow.core.common.minusClockDrift
import org.chalkhollow.peer.PeerMessage

/**
 * Owns the votes that this controller has requested. They count for one request only, from when that was sent, so they
 * end here before those who gave them may grant another leader a follower lease. Called by [Election].
 */
class VoteCollector(private val context: CoreContext, private val peerCount: Int, private val followerLeaseMs: Long) {
    /** Begins at a random number: votes for an earlier incarnation must not count. */
    private val firstSeq = context.random.nextLong(FIRST_SEQ_BOUND)

    /** The number of the last request. */
    var lastSeq = firstSeq
        private set
    private var requestedAt = NEVER
    private val grantedBy = BooleanArray(peerCount)

    /**
     * Grows while votes come for a request before the last: only those for the last count, so asking again sooner than
     * slow controllers answer would make every vote come too late. Two of them once asked each other for nine seconds.
     */
    private var retryMs = MIN_RETRY_MS

    /** When the votes that the campaign rests on were requested; [NEVER] when it rests on none. */
    private var reliedOnFrom = NEVER

    /** Requests votes to follow [record], unless it has just done so. */
    fun requestVotes(record: LeadershipRecord, revision: Long) {
        val now = context.steady
        if (now - requestedAt < retryMs) return
        if (now - requestedAt > 2 * MAX_RETRY_MS) retryMs = MIN_RETRY_MS
        requestedAt = now
        lastSeq++
        grantedBy.fill(false)
        val request = PeerMessage.VoteRequest(record.fencingToken + 1, revision, lastSeq)
        for (peer in 0 until peerCount) context.emit(Effect.Send(peer, request))
    }

    /** Whether [vote] answers a request of this incarnation of the process. */
    fun answersThisIncarnation(vote: PeerMessage.VoteResponse): Boolean = vote.seq in firstSeq..lastSeq

    fun answersLastRequest(vote: PeerMessage.VoteResponse): Boolean = vote.seq == lastSeq

    /** A vote came for a request before the last: the next one is to leave more time. */
    fun onLateAnswer() {
        retryMs = minOf(retryMs * 2, MAX_RETRY_MS)
    }

    /** Takes in a vote that [peer] granted to the last request; returns how many there are, our own counted. */
    fun add(peer: Int): Int {
        if (grantedBy[peer]) context.dropped.count(DroppedInput.MESSAGE_REPEATED)
        grantedBy[peer] = true
        return grantedBy.count { it } + 1
    }

    /** The campaign rests on the votes that were requested last. */
    fun relyOnVotes() {
        reliedOnFrom = requestedAt
    }

    fun relyOnNoVotes() {
        reliedOnFrom = NEVER
    }

    /** Whether the votes that the campaign rests on, if any, still bind those who gave them. */
    val stillBind: Boolean
        get() = reliedOnFrom == NEVER || context.steady - reliedOnFrom < minusClockDrift(followerLeaseMs)

    /** The campaign is over; votes may be requested at once. */
    fun campaignEnded() {
        requestedAt = NEVER
    }

    private companion object {
        const val FIRST_SEQ_BOUND = 1L shl 61
        const val MIN_RETRY_MS = 150L

        /** Votes hold for a little more than twice as long. */
        const val MAX_RETRY_MS = 600L
    }
}
