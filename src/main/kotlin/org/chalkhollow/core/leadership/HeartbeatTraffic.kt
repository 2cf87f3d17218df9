package org.chalkhollow.core.leadership

import org.chalkhollow.core.cluster.Machine

/**
 * Owns which controllers the workers reach. A leader that none of them reaches any more, while they ask at its peers,
 * keeps their leases from being renewed by anyone: it has to make way. A worker without an answer turns to another
 * controller after about 5 s, so within [WINDOW_MS] all of them have asked somewhere.
 */
class HeartbeatTraffic(peers: Int) {
    private val counts = IntArray(SLOTS)
    private val slots = LongArray(SLOTS) { -1 }
    private val elsewhere = IntArray(peers)
    private val toldAt = LongArray(peers) { Machine.NEVER }

    /** A worker's report has come in here. */
    fun received(t: Long) {
        val slot = t / SLOT_MS
        val i = (slot % SLOTS).toInt()
        if (slots[i] != slot) {
            slots[i] = slot
            counts[i] = 0
        }
        counts[i]++
    }

    /** How many reports came in here within [WINDOW_MS]. */
    fun receivedWithinWindow(t: Long): Int {
        val slot = t / SLOT_MS
        var n = 0
        for (i in 0 until SLOTS) if (slots[i] > slot - SLOTS) n += counts[i]
        return n
    }

    /** A peer says how many came in there. */
    fun receivedByPeer(peer: Int, heartbeats: Int, t: Long) {
        elsewhere[peer] = heartbeats
        toldAt[peer] = t
    }

    /** Whether workers ask at the peers and hardly any here. */
    fun workersReachOnlyPeers(t: Long): Boolean {
        var others = 0
        for (p in elsewhere.indices) if (t - toldAt[p] < TOLD_MS) others += elsewhere[p]
        return others >= LEAST && receivedWithinWindow(t) * FEW < others
    }

    companion object {
        const val WINDOW_MS = 6000L
        private const val SLOT_MS = 1000L
        private const val SLOTS = (WINDOW_MS / SLOT_MS).toInt()
        private const val TOLD_MS = 1500L
        private const val LEAST = 3
        private const val FEW = 8
    }
}
