package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.NEVER

/**
 * Counts workers' heartbeats at this controller and at its peers, to find out which controllers the workers reach.
 * While workers reach only the leader's peers, their leases are not renewed, so the leader has to step down. A worker
 * without a response switches to another controller after about 5 s, so every worker sends a heartbeat to some
 * controller within [WINDOW_MS]. Read by [LeaderLease].
 */
class HeartbeatTraffic(peerCount: Int) {
    /** Heartbeats per second, as a ring over the window; [countedSecond] has the second of each count. */
    private val counts = IntArray(SLOT_COUNT)
    private val countedSecond = LongArray(SLOT_COUNT) { -1 }
    private val countByPeer = IntArray(peerCount)
    private val peerCountReceivedAtMs = LongArray(peerCount) { NEVER }

    /** This controller received a heartbeat. */
    fun received(nowMs: Long) {
        val second = nowMs / SLOT_MS
        val index = (second % SLOT_COUNT).toInt()
        if (countedSecond[index] != second) {
            countedSecond[index] = second
            counts[index] = 0
        }
        counts[index]++
    }

    /** How many heartbeats this controller received within [WINDOW_MS]. */
    fun receivedWithinWindow(nowMs: Long): Int {
        val oldest = nowMs / SLOT_MS - SLOT_COUNT
        var sum = 0
        for (index in 0 until SLOT_COUNT) if (countedSecond[index] > oldest) sum += counts[index]
        return sum
    }

    /** The peer [peer] reported how many [heartbeats] it received within [WINDOW_MS]. */
    fun onPeerCount(peer: Int, heartbeats: Int, nowMs: Long) {
        countByPeer[peer] = heartbeats
        peerCountReceivedAtMs[peer] = nowMs
    }

    /** Whether the peers receive heartbeats and this controller receives hardly any. */
    fun workersReachOnlyPeers(nowMs: Long): Boolean {
        var atPeers = 0
        for (peer in countByPeer.indices) {
            if (nowMs - peerCountReceivedAtMs[peer] <
                PEER_COUNT_VALID_MS
            ) {
                atPeers += countByPeer[peer]
            }
        }
        return atPeers >= MIN_PEER_HEARTBEATS && receivedWithinWindow(nowMs) * MIN_PEER_TO_LOCAL_RATIO < atPeers
    }

    companion object {
        const val WINDOW_MS = 6000L
        private const val SLOT_MS = 1000L
        private const val SLOT_COUNT = (WINDOW_MS / SLOT_MS).toInt()
        private const val PEER_COUNT_VALID_MS = 1500L
        private const val MIN_PEER_HEARTBEATS = 3

        /** The peers together receive more than this many times as many heartbeats as this controller. */
        private const val MIN_PEER_TO_LOCAL_RATIO = 8
    }
}
