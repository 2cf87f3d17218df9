package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.NEVER
import org.chalkhollow.core.common.minusClockDrift
import org.chalkhollow.peer.PeerMessage

/**
 * Owns the votes for this controller. A vote counts only for the request that it responds to. It is valid for the
 * length of a follower lease, counted from when that request was sent, so it expires here before its voter may grant
 * another leader a follower lease. Called by [Election].
 */
class VoteCollector(private val context: CoreContext, private val peerCount: Int, private val followerLeaseMs: Long) {
    /** Random, because votes for an earlier incarnation must not count. */
    private val firstSeq = context.random.nextLong(FIRST_SEQ_BOUND)

    /** The number of the last request. */
    var lastSeq = firstSeq
        private set
    private var requestedAtMs = NEVER
    private val grantedBy = BooleanArray(peerCount)

    /**
     * The time between two requests. Only votes for the last request count, so if requests were repeated faster than
     * slow peers respond, every vote would come too late: two controllers requested votes from each other for 9 s.
     * Therefore it doubles with each late vote.
     */
    private var retryMs = MIN_RETRY_MS

    /** When the votes for the current campaign were requested; [NEVER] if it needs none. */
    private var campaignVotesRequestedAtMs = NEVER

    /** Requests votes to succeed the leader of [record], unless the last request was sent within [retryMs]. */
    fun requestVotes(record: LeadershipRecord, revision: Long) {
        val nowMs = context.steady
        if (nowMs - requestedAtMs < retryMs) return
        if (nowMs - requestedAtMs > 2 * MAX_RETRY_MS) retryMs = MIN_RETRY_MS
        requestedAtMs = nowMs
        lastSeq++
        grantedBy.fill(false)
        val request = PeerMessage.VoteRequest(record.fencingToken + 1, revision, lastSeq)
        for (peer in 0 until peerCount) context.emit(Effect.Send(peer, request))
    }

    /** Whether [vote] responds to a request of this incarnation. */
    fun isForThisIncarnation(vote: PeerMessage.VoteResponse): Boolean = vote.seq in firstSeq..lastSeq

    fun isForLastRequest(vote: PeerMessage.VoteResponse): Boolean = vote.seq == lastSeq

    /** A vote for an earlier request than the last one came in: waits longer before the next request. */
    fun onLateVote() {
        retryMs = minOf(retryMs * 2, MAX_RETRY_MS)
    }

    /** Counts a vote of [peer] for the last request. Returns the number of votes, including this controller's own. */
    fun add(peer: Int): Int {
        if (grantedBy[peer]) context.dropped.count(DroppedInput.MESSAGE_REPEATED)
        grantedBy[peer] = true
        return grantedBy.count { it } + 1
    }

    /** The campaign needs the votes that were requested last. */
    fun relyOnVotes() {
        campaignVotesRequestedAtMs = requestedAtMs
    }

    fun relyOnNoVotes() {
        campaignVotesRequestedAtMs = NEVER
    }

    /** Whether the votes for the campaign are still valid; true if it needs none. */
    val areVotesValid: Boolean
        get() =
            campaignVotesRequestedAtMs == NEVER ||
                context.steady - campaignVotesRequestedAtMs < minusClockDrift(followerLeaseMs)

    /** The campaign is over. The next votes may be requested at once. */
    fun campaignEnded() {
        requestedAtMs = NEVER
    }

    private companion object {
        const val FIRST_SEQ_BOUND = 1L shl 61
        const val MIN_RETRY_MS = 150L

        /** Votes are valid for a little more than twice this time. */
        const val MAX_RETRY_MS = 600L
    }
}
