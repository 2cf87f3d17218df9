package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.Effect
import org.chalkhollow.peer.PeerMessage

/**
 * Responds to peers: to leaders that request follower leases, and to candidates that request votes. It grants neither a
 * lease that conflicts with a vote nor a vote that conflicts with a lease; see [GrantedFollowerLease]. Called by
 * [Leadership].
 */
class PeerRequestHandler(
    private val context: CoreContext,
    private val state: LeadershipState,
    private val recordWatch: LeadershipRecordWatch,
    private val grantedLease: GrantedFollowerLease,
    private val heartbeatTraffic: HeartbeatTraffic,
    private val events: Leadership.Events,
) {
    /** The peer [from] has stepped down and released its lease. */
    fun onRelease(from: Int, release: PeerMessage.LeadershipRelease) {
        if (from != state.leaderPeer || release.fencingToken != state.fencingToken) {
            return context.dropped.count(DroppedInput.MESSAGE_LATE)
        }
        grantedLease.release()
        state.onLeaderSteppedDown()
        recordWatch.onRelease(release.fencingToken)
    }

    fun onLeaseRequest(from: Int, request: PeerMessage.FollowerLeaseRequest) {
        val isFollowed = request.fencingToken >= state.fencingToken && state.role == Leadership.Role.FOLLOWER
        val granted = isFollowed && grantedLease.grant(request.fencingToken)
        if (isFollowed) state.heardFromLeader(from, request.fencingToken, request.ready)
        val response =
            PeerMessage.FollowerLeaseResponse(
                request.fencingToken,
                request.seq,
                granted,
                stateServed = recordWatch.isRecentlyServed,
                heartbeats = heartbeatTraffic.receivedWithinWindow(context.steady),
                prepared = events.snapshotComplete(recordWatch.revision),
            )
        context.emit(Effect.Send(from, response))
    }

    fun onVoteRequest(from: Int, request: PeerMessage.VoteRequest) {
        val mayVote = grantedLease.mayVote && state.role != Leadership.Role.LEADER
        val isUpToDate = request.fencingToken > state.fencingToken && request.revision >= recordWatch.revision
        val granted = mayVote && isUpToDate
        if (granted) grantedLease.onVoted(request.fencingToken, request.revision)
        context.emit(Effect.Send(from, PeerMessage.VoteResponse(request.fencingToken, request.seq, granted)))
    }
}
