package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.NEVER

/**
 * Owns this controller's role, the newest fencing token that it knows, and the peer that last reported to be leader.
 * The parts of [Leadership] share it. [Election], [PeerRequestHandler] and [Leadership] change it. The fencing token
 * never decreases.
 */
class LeadershipState(private val context: CoreContext, private val startedAtMs: Long) {
    var role = Leadership.Role.FOLLOWER

    /** The fencing token with which this controller leads, or the newest that it knows. */
    var fencingToken = 0L
        private set

    /** Index of the peer that last reported to be leader, or [NO_PEER]. */
    var leaderPeer = NO_PEER
        private set

    /** Whether that peer has loaded the stored records and accepts users' requests. */
    var leaderReady = false
        private set
    private var heardFromLeaderAtMs = NEVER

    /** Records a fencing token that was read or received. */
    fun observe(newFencingToken: Long) {
        if (newFencingToken > fencingToken) fencingToken = newFencingToken
    }

    /** The peer with index [peer] has just reported that it leads with [newFencingToken]. */
    fun heardFromLeader(peer: Int, newFencingToken: Long, ready: Boolean) {
        observe(newFencingToken)
        leaderPeer = peer
        heardFromLeaderAtMs = context.steady
        leaderReady = ready
    }

    /** The leading peer has stepped down. */
    fun onLeaderSteppedDown() {
        heardFromLeaderAtMs = NEVER
    }

    /** This controller leads with [newFencingToken]. */
    fun becomeLeader(newFencingToken: Long) {
        role = Leadership.Role.LEADER
        fencingToken = newFencingToken
        leaderPeer = NO_PEER
    }

    /** Index of the peer to redirect to, or [NO_PEER] if no leader was heard from within [LEADER_CONTACT_VALID_MS]. */
    fun reachableLeader(): Int =
        if (leaderPeer >= 0 && context.steady - heardFromLeaderAtMs < LEADER_CONTACT_VALID_MS) leaderPeer else NO_PEER

    /** Whether a leader was heard from, or this controller was started, within the last [ms] milliseconds. */
    fun heardFromLeaderWithin(ms: Long): Boolean = context.steady - maxOf(heardFromLeaderAtMs, startedAtMs) < ms

    companion object {
        const val NO_PEER = -1
        private const val LEADER_CONTACT_VALID_MS = 1600L
    }
}
