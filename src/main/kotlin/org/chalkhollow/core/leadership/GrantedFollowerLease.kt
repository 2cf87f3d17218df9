package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.NEVER
import org.chalkhollow.core.common.plusClockDrift
import org.chalkhollow.settings.OperatorSettings

/**
 * Owns the follower lease that this controller has granted to a leader, and its votes for candidates. While a lease
 * binds this controller, it grants no vote; after a vote it grants no lease for an older fencing token. Leases and
 * votes of an earlier incarnation are not known any more, so this controller waits until they have expired. Called by
 * [Election] and [PeerRequestHandler].
 */
class GrantedFollowerLease(
    private val context: CoreContext,
    private val options: OperatorSettings,
    /** When this process began. An earlier incarnation granted its last lease and its last vote before then. */
    private val processStartedAtMs: Long,
) {
    private var leaseUntilMs = NEVER
    private var votedFencingToken = 0L
    private var votedRevision = 0L

    /**
     * Whether the record was read after every vote of an earlier incarnation had expired. Until then a leader may exist
     * that an earlier incarnation voted for, so this controller grants no lease. Without this rule a controller that
     * restarted quickly granted a lease to an older leader, and two leaders could act at once.
     */
    private var earlierVotesExpired = false

    /** Whether a granted lease forbids this controller to campaign and to vote. */
    val isBinding: Boolean get() = context.steady < leaseUntilMs

    /** Whether a lease or a vote of an earlier incarnation may still be valid. */
    val earlierIncarnationMayBind: Boolean
        get() = context.steady - processStartedAtMs < plusClockDrift(options.followerLeaseMs)

    val mayVote: Boolean get() = !isBinding && !earlierIncarnationMayBind

    /** The record was read or found missing, by a call that was sent at [requestedAtMs]. */
    fun onRecordRead(requestedAtMs: Long) {
        if (requestedAtMs - processStartedAtMs >= plusClockDrift(options.followerLeaseMs)) earlierVotesExpired = true
    }

    /**
     * The record has changed. If it is newer than the record that was voted on but has an older fencing token than the
     * vote, the campaign failed, and the vote no longer forbids leases for the record's token.
     */
    fun onRecordChanged(record: LeadershipRecord, revision: Long) {
        if (revision > votedRevision && record.fencingToken < votedFencingToken) votedFencingToken = record.fencingToken
    }

    /** The leader that holds the lease has stepped down. */
    fun release() {
        leaseUntilMs = NEVER
    }

    /** Grants a lease to the leader of [fencingToken]. Returns false if that is not allowed. */
    fun grant(fencingToken: Long): Boolean {
        if (!earlierVotesExpired || fencingToken < votedFencingToken) return false
        leaseUntilMs = maxOf(leaseUntilMs, context.steady + options.followerLeaseMs)
        return true
    }

    /** This controller voted for a peer, or for itself by campaigning. */
    fun onVoted(fencingToken: Long, revision: Long) {
        votedFencingToken = maxOf(votedFencingToken, fencingToken)
        votedRevision = maxOf(votedRevision, revision)
    }
}
