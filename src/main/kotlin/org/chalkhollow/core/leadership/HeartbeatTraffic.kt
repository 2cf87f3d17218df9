package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.NEVER

/**
 * Owns which controllers the workers reach. A leader that none of them reaches any more, while they ask at its peers,
 * keeps their leases from being renewed by anyone: it has to step down. A worker without an answer turns to another
 * controller after about 5 s, so within [WINDOW_MS] all of them have asked somewhere. Whoever takes a heartbeat counts
 * it here; [LeaderLease] asks.
 */
class HeartbeatTraffic(peerCount: Int) {
    /** Heartbeats by second, as a ring over the window; [countedSlot] tells which second a count is of. */
    private val counts = IntArray(SLOTS)
    private val countedSlot = LongArray(SLOTS) { -1 }
    private val countAtPeer = IntArray(peerCount)
    private val toldByPeerAt = LongArray(peerCount) { NEVER }

    /** A worker's heartbeat has come in here. */
    fun received(now: Long) {
        val slot = now / SLOT_MS
        val index = (slot % SLOTS).toInt()
        if (countedSlot[index] != slot) {
            countedSlot[index] = slot
            counts[index] = 0
        }
        counts[index]++
    }

    /** How many heartbeats came in here within [WINDOW_MS]. */
    fun receivedWithinWindow(now: Long): Int {
        val oldest = now / SLOT_MS - SLOTS
        var sum = 0
        for (index in 0 until SLOTS) if (countedSlot[index] > oldest) sum += counts[index]
        return sum
    }

    /** A peer says how many came in there. */
    fun receivedByPeer(peer: Int, heartbeats: Int, now: Long) {
        countAtPeer[peer] = heartbeats
        toldByPeerAt[peer] = now
    }

    /** Whether workers ask at the peers and hardly any here. */
    fun workersReachOnlyPeers(now: Long): Boolean {
        var atPeers = 0
        for (peer in countAtPeer.indices) {
            if (now - toldByPeerAt[peer] <
                PEER_COUNT_VALID_MS
            ) {
                atPeers += countAtPeer[peer]
            }
        }
        return atPeers >= MIN_AT_PEERS && receivedWithinWindow(now) * PEERS_TO_HERE_RATIO < atPeers
    }

    companion object {
        const val WINDOW_MS = 6000L
        private const val SLOT_MS = 1000L
        private const val SLOTS = (WINDOW_MS / SLOT_MS).toInt()
        private const val PEER_COUNT_VALID_MS = 1500L
        private const val MIN_AT_PEERS = 3

        /** Hardly any: so many times fewer than at the peers. */
        private const val PEERS_TO_HERE_RATIO = 8
    }
}
