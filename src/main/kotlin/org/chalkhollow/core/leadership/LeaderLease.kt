package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.NEVER
import org.chalkhollow.core.common.minusClockDrift
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.settings.OperatorSettings

/**
 * Owns the leader's side of the lease: when it was last renewed, since when writes fail, the follower leases that peers
 * have granted, and whether to transfer leadership. Its answers hold only while this controller leads; [Leadership]
 * checks the role and calls it.
 */
class LeaderLease(
    private val context: CoreContext,
    private val options: OperatorSettings,
    peerCount: Int,
    private val heartbeatTraffic: HeartbeatTraffic,
) {
    private val followerLeases = FollowerLeases(context, peerCount, options.followerLeaseMs)
    private var electedAt = NEVER
    private var renewedAt = NEVER
    private var failingSince = NEVER
    private var refusedAloneSince = NEVER

    /** A term begins whose record was sent at [sentAt]. */
    fun start(sentAt: Long) {
        renewedAt = sentAt
        electedAt = context.steady
        failingSince = NEVER
        refusedAloneSince = NEVER
        followerLeases.reset()
    }

    /**
     * Whether a leader may act for all at this moment: by its own lease, or by follower leases of a majority while
     * they last, but never beyond the time after which a candidate may do without votes.
     */
    fun mayActAsLeader(): Boolean {
        val now = context.steady
        if (now < renewedAt + minusClockDrift(options.leaderLeaseMs)) return true
        return now < followerLeases.majorityUntil() && now < renewedAt + minusClockDrift(options.outageLimitMs)
    }

    /** For the log: how fresh what entitles this leader is. */
    fun describeLeases(): String {
        val sinceRenewal = context.steady - renewedAt
        val leasesLeft = followerLeases.majorityUntil() - context.steady
        return "last renewal $sinceRenewal ms ago, follower leases of a majority for $leasesLeft ms"
    }

    /** A write that was sent at [sentAt] was confirmed: the lease runs from then. */
    fun renewed(sentAt: Long) {
        if (sentAt > renewedAt) renewedAt = sentAt
        failingSince = NEVER
    }

    /** A write that was sent at [sentAt] was refused, or had no answer. */
    fun writeFailed(sentAt: Long) {
        if (failingSince == NEVER) failingSince = sentAt
    }

    fun requestFollowerLeases(fencingToken: Long, ready: Boolean) = followerLeases.requestIfDue(fencingToken, ready)

    /** Takes in a peer's answer to a request of this term. */
    fun onLeaseResponse(from: Int, response: PeerMessage.FollowerLeaseResponse) {
        if (!followerLeases.accept(from, response)) return context.dropped.count(DroppedInput.MESSAGE_LATE)
        heartbeatTraffic.receivedByPeer(from, response.heartbeats, context.steady)
    }

    /** Why leadership should pass to a peer now, or null while there is no reason. */
    fun transferReason(): StepDownReason.Own? =
        when {
            shouldYieldToServedPeer() -> StepDownReason.Local.REFUSED_BY_STATE_SERVICE
            notReachedByWorkers() -> StepDownReason.Local.NOT_REACHED_BY_WORKERS
            else -> null
        }

    /**
     * Nobody renews the workers' leases from a step-down until a peer leads, and if the state service falls silent for
     * all in between, nobody does until it is back. So leadership is given up only once a peer could take it at once,
     * or none could for a while.
     */
    private fun shouldYieldToServedPeer(): Boolean {
        if (!refusedAlone()) {
            refusedAloneSince = NEVER
            return false
        }
        if (refusedAloneSince == NEVER) refusedAloneSince = context.steady
        return followerLeases.anyPeerPrepared || context.steady - refusedAloneSince > PREPARED_PEER_WAIT_MS
    }

    /**
     * Peers were served by the state service after it had begun to refuse us: this is no outage, so step down. What
     * they say when an outage begins is still about the time before it; an earlier version took that for later and
     * stepped down, and with no leader until the outage was over all tasks were lost.
     */
    private fun refusedAlone(): Boolean {
        if (failingSince == NEVER || context.steady <= failingSince) return false
        val certainlyAfter = failingSince + LeadershipRecordWatch.recentlyServedMs(options) + SERVED_MARGIN_MS
        return followerLeases.anyPeerServedAfter(certainlyAfter)
    }

    private fun notReachedByWorkers(): Boolean =
        context.steady - electedAt > HeartbeatTraffic.WINDOW_MS &&
            heartbeatTraffic.workersReachOnlyPeers(context.steady)

    private companion object {
        const val SERVED_MARGIN_MS = 450L

        /** How long a leader that is refused alone waits for a peer that could follow it at once. */
        const val PREPARED_PEER_WAIT_MS = 800L
    }
}
