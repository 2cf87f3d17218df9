package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.Effect
import org.chalkhollow.peer.PeerMessage

/**
 * Answers what peers ask of this controller: leaders for follower leases, candidates for votes. It never grants a lease
 * against a vote or a vote against a lease, see [GrantedFollowerLease]. Called by [Leadership].
 */
class PeerRequestHandler(
    private val context: CoreContext,
    private val state: LeadershipState,
    private val recordWatch: LeadershipRecordWatch,
    private val grantedLease: GrantedFollowerLease,
    private val heartbeatTraffic: HeartbeatTraffic,
    private val events: Leadership.Events,
) {
    /** The leader [from] has stepped down: its lease binds nobody any more. */
    fun onRelease(from: Int, release: PeerMessage.LeadershipRelease) {
        if (from != state.leaderPeer || release.fencingToken != state.fencingToken) {
            return context.dropped.count(DroppedInput.MESSAGE_LATE)
        }
        grantedLease.release()
        state.leaderSteppedDown()
        recordWatch.onRelease(release.fencingToken)
    }

    fun onLeaseRequest(from: Int, request: PeerMessage.FollowerLeaseRequest) {
        val follows = request.fencingToken >= state.fencingToken && state.role == Leadership.Role.FOLLOWER
        val granted = follows && grantedLease.grant(request.fencingToken)
        if (follows) state.heardFromLeader(from, request.fencingToken, request.ready)
        val response =
            PeerMessage.FollowerLeaseResponse(
                request.fencingToken,
                request.seq,
                granted,
                stateServed = recordWatch.recentlyServed,
                heartbeats = heartbeatTraffic.receivedWithinWindow(context.steady),
                prepared = events.snapshotComplete(recordWatch.revision),
            )
        context.emit(Effect.Send(from, response))
    }

    fun onVoteRequest(from: Int, request: PeerMessage.VoteRequest) {
        val free = grantedLease.mayVote && state.role != Leadership.Role.LEADER
        val upToDate = request.fencingToken > state.fencingToken && request.revision >= recordWatch.revision
        val granted = free && upToDate
        if (granted) grantedLease.voted(request.fencingToken, request.revision)
        context.emit(Effect.Send(from, PeerMessage.VoteResponse(request.fencingToken, request.seq, granted)))
    }
}
