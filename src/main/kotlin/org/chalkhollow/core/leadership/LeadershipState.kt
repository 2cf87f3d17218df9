package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.NEVER

/**
 * Owns this controller's role, the newest fencing token that it knows, and which peer leads as far as it has heard.
 * The parts of [Leadership] share it: [Election] and [PeerRequestHandler] change it, and so does [Leadership] itself.
 * The fencing token never falls.
 */
class LeadershipState(private val context: CoreContext, private val startedAt: Long) {
    var role = Leadership.Role.FOLLOWER

    /** The fencing token under which this controller leads, or the newest that it has heard of. */
    var fencingToken = 0L
        private set

    /** Index of the peer that leads as far as known, or [NO_PEER]. */
    var leaderPeer = NO_PEER
        private set

    /** Whether that peer has rebuilt its view and takes users' requests. */
    var leaderReady = false
        private set
    private var leaderHeardAt = NEVER

    /** Takes in a fencing token that was read or received. */
    fun observe(newFencingToken: Long) {
        if (newFencingToken > fencingToken) fencingToken = newFencingToken
    }

    /** The peer [peer] leads under [newFencingToken], and has just said so. */
    fun heardFromLeader(peer: Int, newFencingToken: Long, ready: Boolean) {
        observe(newFencingToken)
        leaderPeer = peer
        leaderHeardAt = context.steady
        leaderReady = ready
    }

    /** The leader that was heard of has stepped down. */
    fun leaderSteppedDown() {
        leaderHeardAt = NEVER
    }

    /** This controller leads under [newFencingToken]. */
    fun becomeLeader(newFencingToken: Long) {
        role = Leadership.Role.LEADER
        fencingToken = newFencingToken
        leaderPeer = NO_PEER
    }

    /** The peer to send others to, or [NO_PEER] if none was heard of lately. */
    fun reachableLeader(): Int =
        if (leaderPeer >= 0 && context.steady - leaderHeardAt < LEADER_HEARD_MS) leaderPeer else NO_PEER

    /** Whether a leader was heard of within [ms], or this controller has only just begun to listen for one. */
    fun heardOfLeaderWithin(ms: Long): Boolean = context.steady - maxOf(leaderHeardAt, startedAt) < ms

    companion object {
        const val NO_PEER = -1
        private const val LEADER_HEARD_MS = 1600L
    }
}
