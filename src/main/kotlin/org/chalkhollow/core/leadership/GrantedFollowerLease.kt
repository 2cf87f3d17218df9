package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.NEVER
import org.chalkhollow.core.common.plusClockDrift
import org.chalkhollow.settings.OperatorSettings

/**
 * Owns the follower lease that this controller has granted to a leader, and its votes for candidates. No vote is given
 * against a lease, and no lease against a vote, also not against those of an earlier incarnation of this process, which
 * it has forgotten: they are waited out. Called by [Election] and [PeerRequestHandler].
 */
class GrantedFollowerLease(
    private val context: CoreContext,
    private val options: OperatorSettings,
    /**
     * When this process began: an earlier incarnation had ended by then, and granted its last lease and vote before.
     */
    private val processStartedAt: Long,
) {
    private var leaseUntil = NEVER
    private var votedFencingToken = 0L
    private var votedRevision = 0L

    /**
     * Whether a record was read that was asked for once every vote of an earlier incarnation had run out. Until then
     * this process may have voted for a leader that it does not know of any more, and grants no lease: an earlier
     * version granted one to an older leader at once after a quick restart, and then two were entitled.
     */
    private var forgottenVotesRanOut = false

    /** Whether a lease that was granted binds this controller not to campaign and not to vote. */
    val isBinding: Boolean get() = context.steady < leaseUntil

    /** Whether a lease or vote of an earlier incarnation may still bind. */
    val earlierIncarnationMayBind: Boolean
        get() = context.steady - processStartedAt < plusClockDrift(options.followerLeaseMs)

    /** Whether a vote may be given at all now. */
    val mayVote: Boolean get() = !isBinding && !earlierIncarnationMayBind

    /** The record was read, or found missing, as was asked for at [requestedAt]. */
    fun onRecordRead(requestedAt: Long) {
        if (requestedAt - processStartedAt >= plusClockDrift(options.followerLeaseMs)) forgottenVotesRanOut = true
    }

    /** A record is newer than what we voted on, and has an older fencing token: that vote has come to nothing. */
    fun onRecordChanged(record: LeadershipRecord, revision: Long) {
        if (revision > votedRevision && record.fencingToken < votedFencingToken) votedFencingToken = record.fencingToken
    }

    /** The leader that holds the lease has stepped down. */
    fun release() {
        leaseUntil = NEVER
    }

    /** Grants the leader of [fencingToken] not to campaign against it; false if it may not. */
    fun grant(fencingToken: Long): Boolean {
        if (!forgottenVotesRanOut || fencingToken < votedFencingToken) return false
        leaseUntil = maxOf(leaseUntil, context.steady + options.followerLeaseMs)
        return true
    }

    /** A vote was given; our own binds us like any other. */
    fun voted(fencingToken: Long, revision: Long) {
        votedFencingToken = maxOf(votedFencingToken, fencingToken)
        votedRevision = maxOf(votedRevision, revision)
    }
}
