package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.Effect
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.settings.OperatorSettings

/**
 * Elects the leader, and decides whether this controller may act as the leader.
 *
 * The leadership record is the leader lease. Every write of the leader changes the record's revision, and a follower
 * may take over only after it has seen the same revision for longer than the lease.
 *
 * Peers also grant follower leases to the leader. While it holds those of a majority (itself included), it may act
 * during an outage of the state service: a candidate needs the votes of a majority, and a controller bound by a
 * follower lease grants no vote. A candidate may campaign without votes only after [OperatorSettings.outageLimitMs],
 * and by then no leader acts on follower leases any longer.
 *
 * This class owns the transitions between the roles. Its parts are [LeadershipState], [LeadershipRecordWatch],
 * [GrantedFollowerLease], [Election], [LeaderLease] and [PeerRequestHandler]. Called by the controller and, for the
 * outcome of writes, by the state writer.
 */
class Leadership(
    private val context: CoreContext,
    label: String,
    peers: List<String>,
    incarnation: Long,
    options: OperatorSettings,
    startedAtMs: Long,
    /** When this process began; see [GrantedFollowerLease]. */
    processStartedAtMs: Long,
    private val events: Events,
) {
    /** What leadership needs from the rest of the controller, and the changes of role that it reports. */
    interface Events {
        /** Requests a snapshot of all stored records, begun while the leadership record has [revision]. */
        fun requestSnapshot(revision: Long)

        /** Whether the snapshot for [revision] is complete. */
        fun snapshotComplete(revision: Long): Boolean

        fun discardSnapshot()

        /**
         * This controller leads with [fencingToken]. The record counts [writes] writes and has [revision]. Nothing was
         * written since it had [snapshotRevision], for which the snapshot is complete.
         */
        fun onElected(fencingToken: Long, revision: Long, writes: Long, snapshotRevision: Long)

        fun onSteppedDown()
    }

    enum class Role { FOLLOWER, CANDIDATE, LEADER }

    /** The number of other controllers. */
    val peerCount = peers.size

    val heartbeatTraffic = HeartbeatTraffic(peerCount)

    /** Whether this leader has loaded the stored records and accepts users' requests. */
    var ready = false

    private val self = ControllerIdentity(label, incarnation, peers)
    private val state = LeadershipState(context, startedAtMs)
    private val recordWatch = LeadershipRecordWatch(context, options, startedAtMs)
    private val grantedLease = GrantedFollowerLease(context, options, processStartedAtMs)
    private val lease = LeaderLease(context, options, peerCount, heartbeatTraffic)
    private val election = Election(context, options, self, state, recordWatch, grantedLease, events, ::onElectionWon)
    private val peerRequests =
        PeerRequestHandler(context, state, recordWatch, grantedLease, heartbeatTraffic, events)
    private var couldAct = false

    val role: Role get() = state.role

    /** The fencing token with which this controller leads, or the newest that it knows. */
    val fencingToken: Long get() = state.fencingToken

    /** Whether this controller is the leader and its leases allow it to act at this moment. */
    fun mayActAsLeader(): Boolean = role == Role.LEADER && lease.mayActAsLeader()

    /** See [LeadershipState.reachableLeader]. */
    fun reachableLeader(): Int = state.reachableLeader()

    /** Whether the leading peer accepts users' requests, according to its last lease request. */
    fun leaderIsReady(): Boolean = state.leaderReady

    /** Whether this controller leads, or heard from a leader or was started within the last [withinMs] milliseconds. */
    fun hasLeaderContact(withinMs: Long): Boolean = mayActAsLeader() || state.heardFromLeaderWithin(withinMs)

    fun tick() {
        logLeaseChange()
        when (role) {
            Role.LEADER -> lead()
            Role.FOLLOWER -> election.follow()
            Role.CANDIDATE -> Unit
        }
    }

    private fun logLeaseChange() {
        val mayAct = mayActAsLeader()
        if (mayAct == couldAct) return
        couldAct = mayAct
        if (role != Role.LEADER) return
        if (mayAct) return context.info("leases are valid: acting as leader")
        context.warn("leases have expired: ${lease.describeLeases()}; not responding to heartbeats until a renewal")
    }

    private fun lead() {
        val reason = lease.transferReason() ?: return lease.requestFollowerLeases(fencingToken, ready)
        if (reason == StepDownReason.Local.NOT_REACHED_BY_WORKERS) election.backOff()
        transferLeadership(reason)
    }

    private fun transferLeadership(reason: StepDownReason) {
        // This controller no longer acts as leader from here on, so peers need not keep their follower leases.
        for (peer in self.peers.indices) context.emit(Effect.Send(peer, PeerMessage.LeadershipRelease(fencingToken)))
        stepDown(reason)
    }

    /** Ends the term at once. The follower leases that peers granted are not released but expire. */
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
        lease.start(win.sentAtMs)
        context.info("leading with fencing token $fencingToken")
        events.onElected(fencingToken, win.revision, record.writes, win.snapshotRevision)
        lead()
    }

    /** The snapshot that was requested with [Events.requestSnapshot] is complete. */
    fun onSnapshotComplete() {
        if (role == Role.FOLLOWER) election.follow()
    }

    /** A write that was sent at [sentAtMs] was committed; the leader lease runs from then. */
    fun onWriteConfirmed(sentAtMs: Long) {
        lease.onWriteConfirmed(sentAtMs)
        recordWatch.onStateServiceReply()
    }

    /** A write that was sent at [sentAtMs] failed or has no reply. */
    fun onWriteFailed(sentAtMs: Long = context.steady) = lease.onWriteFailed(sentAtMs)

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
        val isOfThisTerm = role == Role.LEADER && response.fencingToken == fencingToken
        if (isOfThisTerm) lease.onLeaseResponse(from, response) else context.dropped.count(DroppedInput.MESSAGE_LATE)
    }
}
