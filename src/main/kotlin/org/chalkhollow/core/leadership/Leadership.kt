package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.Effect
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.settings.OperatorSettings

/**
 * Decides who leads, and answers for this controller whether it may act as leader.
 *
 * The leadership record is a lease: every write of the leader changes its revision, and a follower may take over only
 * after it has seen the same revision for longer than any renewal is good for. Beside it stand the peers' follower
 * leases: while a majority (the leader counted) has granted not to campaign, the leader stays entitled although the
 * state service serves nobody, because a candidate needs the votes of a majority, and no vote is given against a
 * follower lease. A candidate without votes has to wait out [OperatorSettings.outageLimitMs], beyond which no leader
 * acts on follower leases.
 *
 * This class owns the transitions between the roles. Its parts are [LeadershipState], [LeadershipRecordWatch],
 * [GrantedFollowerLease], [Election] (the way to leadership), [LeaderLease] (the leader's lease) and
 * [PeerRequestHandler]. Called by the controller and, for the outcome of writes, by the state writer.
 */
class Leadership(
    private val context: CoreContext,
    label: String,
    peers: List<String>,
    incarnation: Long,
    options: OperatorSettings,
    startedAt: Long,
    /** When this process began, see [GrantedFollowerLease]. */
    processStartedAt: Long,
    private val events: Events,
) {
    /** What leadership needs of the rest of the controller, and what it tells it. */
    interface Events {
        /**
         * To read all that leaders have written, from now on, when the leadership record has [revision]. Every write
         * raises the record, so if it still has that revision when this controller takes over, what was read is all
         * there is.
         */
        fun requestSnapshot(revision: Long)

        /** Whether all was read since the record had [revision]. */
        fun snapshotComplete(revision: Long): Boolean

        /** What was read is out of date. */
        fun discardSnapshot()

        /**
         * This controller leads under [fencingToken], and the record, after [writes] writes, has [revision]. Nothing
         * was written since it had [snapshotRevision], for which the snapshot is complete.
         */
        fun onElected(fencingToken: Long, revision: Long, writes: Long, snapshotRevision: Long)

        fun onSteppedDown()
    }

    enum class Role { FOLLOWER, CANDIDATE, LEADER }

    /** Which controllers the workers reach. */
    val heartbeatTraffic = HeartbeatTraffic(peers.size)

    /** Set once the leader has rebuilt its view and takes users' requests. */
    var ready = false

    private val self = ControllerIdentity(label, incarnation, peers)
    private val state = LeadershipState(context, startedAt)
    private val recordWatch = LeadershipRecordWatch(context, options, startedAt)
    private val grantedLease = GrantedFollowerLease(context, options, processStartedAt)
    private val lease = LeaderLease(context, options, peers.size, heartbeatTraffic)
    private val election = Election(context, options, self, state, recordWatch, grantedLease, events, ::onElectionWon)
    private val peerRequests =
        PeerRequestHandler(context, state, recordWatch, grantedLease, heartbeatTraffic, events)
    private var wasEntitled = false

    val role: Role get() = state.role

    /** The fencing token under which this controller leads, or the newest that it has heard of. */
    val fencingToken: Long get() = state.fencingToken

    /** Whether this controller may act for all at this moment. */
    fun mayActAsLeader(): Boolean = role == Role.LEADER && lease.mayActAsLeader()

    /** The peer to send others to, or [LeadershipState.NO_PEER] if none was heard of lately. */
    fun reachableLeader(): Int = state.reachableLeader()

    /** Whether the peer that leads takes users' requests, as far as known. */
    fun leaderIsReady(): Boolean = state.leaderReady

    /** Whether this controller leads, has heard from a leader within [ms], or has only just begun to listen for one. */
    fun hasLeaderContact(ms: Long): Boolean = mayActAsLeader() || state.heardOfLeaderWithin(ms)

    fun tick() {
        logEntitlement()
        when (role) {
            Role.LEADER -> lead()
            Role.FOLLOWER -> election.follow()
            Role.CANDIDATE -> Unit
        }
    }

    private fun logEntitlement() {
        val now = mayActAsLeader()
        if (now == wasEntitled) return
        wasEntitled = now
        if (role != Role.LEADER) return
        if (now) return context.info("entitled to lead again")
        context.warn("not entitled to lead: ${lease.describeLeases()}; heartbeats go unanswered")
    }

    private fun lead() {
        val reason = lease.transferReason() ?: return lease.requestFollowerLeases(fencingToken, ready)
        if (reason == StepDownReason.Local.NOT_REACHED_BY_WORKERS) election.backOff()
        transferLeadership(reason)
    }

    private fun transferLeadership(reason: StepDownReason) {
        // No longer entitled from here on, so the follower leases that we hold bind nobody any more.
        for (peer in self.peers.indices) context.emit(Effect.Send(peer, PeerMessage.LeadershipRelease(fencingToken)))
        stepDown(reason)
    }

    /** Ends the term at once; the follower leases that were granted to it run out by themselves. */
    fun stepDown(reason: StepDownReason) {
        if (role != Role.LEADER) return
        context.info("stepping down from fencing token $fencingToken: ${reason.description}")
        state.role = Role.FOLLOWER
        ready = false
        election.onSteppedDown()
        events.onSteppedDown()
    }

    private fun onElectionWon(win: Election.Win) {
        val record = win.record
        state.becomeLeader(record.fencingToken)
        lease.start(win.sentAt)
        context.info("leading with fencing token $fencingToken")
        events.onElected(fencingToken, win.revision, record.writes, win.snapshotRevision)
        lead()
    }

    /** What [Events.requestSnapshot] asked for was read. */
    fun onSnapshotComplete() {
        if (role == Role.FOLLOWER) election.follow()
    }

    /** A write that was sent at [sentAt] was confirmed: the lease runs from then. */
    fun renewed(sentAt: Long) {
        lease.renewed(sentAt)
        recordWatch.stateServiceAnswered()
    }

    /** A write was refused, or is without an answer although it was sent at [sentAt]. */
    fun writeFailed(sentAt: Long = context.steady) = lease.writeFailed(sentAt)

    fun onPeer(from: Int, message: PeerMessage) {
        when (message) {
            is PeerMessage.FollowerLeaseRequest -> peerRequests.onLeaseRequest(from, message)
            is PeerMessage.FollowerLeaseResponse -> onLeaseResponse(from, message)
            is PeerMessage.LeadershipRelease -> peerRequests.onRelease(from, message)
            is PeerMessage.VoteRequest -> peerRequests.onVoteRequest(from, message)
            is PeerMessage.VoteResponse -> election.onVote(from, message)
            else -> Unit
        }
    }

    private fun onLeaseResponse(from: Int, response: PeerMessage.FollowerLeaseResponse) {
        val ofThisTerm = role == Role.LEADER && response.fencingToken == fencingToken
        if (ofThisTerm) lease.onLeaseResponse(from, response) else context.dropped.count(DroppedInput.MESSAGE_LATE)
    }
}
