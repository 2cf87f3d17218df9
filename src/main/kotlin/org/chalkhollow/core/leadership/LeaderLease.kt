package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.NEVER
import org.chalkhollow.core.common.minusClockDrift
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.settings.OperatorSettings

/**
 * Owns the leader's side of the leader lease: when it was last renewed, since when writes fail, the follower leases
 * that peers have granted, and whether to transfer leadership. Valid only while this controller leads; [Leadership]
 * checks the role and calls it.
 */
class LeaderLease(
    private val context: CoreContext,
    private val options: OperatorSettings,
    peerCount: Int,
    private val heartbeatTraffic: HeartbeatTraffic,
) {
    private val followerLeases = FollowerLeases(context, peerCount, options.followerLeaseMs)
    private var electedAtMs = NEVER
    private var renewedAtMs = NEVER
    private var failingSinceMs = NEVER
    private var onlyPeersServedSinceMs = NEVER

    /** Starts a term, whose record was sent at [sentAtMs]. */
    fun start(sentAtMs: Long) {
        renewedAtMs = sentAtMs
        electedAtMs = context.steady
        failingSinceMs = NEVER
        onlyPeersServedSinceMs = NEVER
        followerLeases.reset()
    }

    /**
     * Whether the leader may act at this moment: on its leader lease, or on valid follower leases of a majority. On
     * follower leases it may act only until a candidate may take over without votes.
     */
    fun mayActAsLeader(): Boolean {
        val nowMs = context.steady
        if (nowMs < renewedAtMs + minusClockDrift(options.leaderLeaseMs)) return true
        return nowMs < followerLeases.majorityUntilMs() && nowMs < renewedAtMs + minusClockDrift(options.outageLimitMs)
    }

    /** The state of the leases, for the log. */
    fun describeLeases(): String {
        val sinceRenewalMs = context.steady - renewedAtMs
        val leasesLeftMs = followerLeases.majorityUntilMs() - context.steady
        return "last renewal $sinceRenewalMs ms ago, follower leases of a majority expire in $leasesLeftMs ms"
    }

    /** A write that was sent at [sentAtMs] was committed; the leader lease runs from then. */
    fun onWriteConfirmed(sentAtMs: Long) {
        if (sentAtMs > renewedAtMs) renewedAtMs = sentAtMs
        failingSinceMs = NEVER
    }

    /** A write that was sent at [sentAtMs] failed or has no reply. */
    fun onWriteFailed(sentAtMs: Long) {
        if (failingSinceMs == NEVER) failingSinceMs = sentAtMs
    }

    fun requestFollowerLeases(fencingToken: Long, ready: Boolean) = followerLeases.requestIfDue(fencingToken, ready)

    /** Handles a peer's response to a request of this term. */
    fun onLeaseResponse(from: Int, response: PeerMessage.FollowerLeaseResponse) {
        if (!followerLeases.accept(from, response)) return context.dropped.count(DroppedInput.MESSAGE_LATE)
        heartbeatTraffic.onPeerCount(from, response.heartbeats, context.steady)
    }

    /** Why this leader should transfer leadership to a peer now; null if it should not. */
    fun transferReason(): StepDownReason.Local? =
        when {
            shouldTransferToServedPeer() -> StepDownReason.Local.NOT_SERVED_BY_STATE_SERVICE
            isUnreachedByWorkers() -> StepDownReason.Local.NOT_REACHED_BY_WORKERS
            else -> null
        }

    /**
     * No controller renews the workers' leases between a step-down and the next term. If an outage of the state service
     * begins in between, none does until it ends. So a leader that is not served steps down only when a peer could take
     * over at once, or when no peer could within [PREPARED_PEER_WAIT_MS].
     */
    private fun shouldTransferToServedPeer(): Boolean {
        if (!onlyPeersAreServed()) {
            onlyPeersServedSinceMs = NEVER
            return false
        }
        if (onlyPeersServedSinceMs == NEVER) onlyPeersServedSinceMs = context.steady
        return followerLeases.anyPeerPrepared || context.steady - onlyPeersServedSinceMs > PREPARED_PEER_WAIT_MS
    }

    /**
     * Whether the state service served peers after it had stopped serving this leader, so this is not an outage for all
     * controllers. When an outage begins, peers still report that they were served before it. Such reports must not
     * count: a leader that stepped down because of them left the cluster without a leader until the outage ended, and
     * all tasks were lost.
     */
    private fun onlyPeersAreServed(): Boolean {
        if (failingSinceMs == NEVER || context.steady <= failingSinceMs) return false
        val afterFailureMs = failingSinceMs + LeadershipRecordWatch.recentlyServedWindowMs(options) + SERVED_MARGIN_MS
        return followerLeases.anyPeerServedAfter(afterFailureMs)
    }

    private fun isUnreachedByWorkers(): Boolean =
        context.steady - electedAtMs > HeartbeatTraffic.WINDOW_MS &&
            heartbeatTraffic.workersReachOnlyPeers(context.steady)

    private companion object {
        const val SERVED_MARGIN_MS = 450L

        /** How long a leader that is not served waits for a peer that could take over at once. */
        const val PREPARED_PEER_WAIT_MS = 800L
    }
}
