package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.NEVER
import org.chalkhollow.core.common.minusClockDrift
import org.chalkhollow.peer.PeerMessage

/**
 * Owns the follower leases that this leader holds, and what the peers reported with them: whether the state service
 * serves them, and whether they could take over at once. Here a follower lease runs from when it was requested, so it
 * expires here before it expires at the peer that granted it. Called by [LeaderLease].
 */
class FollowerLeases(private val context: CoreContext, private val peerCount: Int, private val followerLeaseMs: Long) {
    private val majority = majorityWith(peerCount)
    private var seq = 0L
    private var requestedAtMs = NEVER

    /** When each of the last [TRACKED_REQUESTS] requests was sent; a ring, indexed by [slot]. */
    private val sentAtMs = LongArray(TRACKED_REQUESTS) { NEVER }

    /** By peer: when its lease expires. */
    private val leaseUntilMs = LongArray(peerCount) { NEVER }

    /** By peer: when the newest request was sent to which it replied that the state service serves it. */
    private val servedAtMs = LongArray(peerCount) { NEVER }

    /** By peer: whether it has a complete snapshot and could take over at once. */
    private val isPrepared = BooleanArray(peerCount)

    /** Whether some peer could take over at once. */
    val anyPeerPrepared: Boolean get() = isPrepared.any { it }

    /** Starts a term without any lease. The numbers of requests continue. */
    fun reset() {
        leaseUntilMs.fill(NEVER)
        servedAtMs.fill(NEVER)
        isPrepared.fill(false)
        requestedAtMs = NEVER
    }

    /** Requests leases from all peers, [REQUESTS_PER_LEASE] times within the length of a lease. */
    fun requestIfDue(fencingToken: Long, ready: Boolean) {
        val nowMs = context.steady
        if (nowMs - requestedAtMs < followerLeaseMs / REQUESTS_PER_LEASE) return
        requestedAtMs = nowMs
        seq++
        sentAtMs[slot(seq)] = nowMs
        for (peer in 0 until peerCount) {
            context.emit(Effect.Send(peer, PeerMessage.FollowerLeaseRequest(fencingToken, seq, ready)))
        }
    }

    /** Handles a response. Returns false if the request is so old that its time is no longer known. */
    fun accept(from: Int, response: PeerMessage.FollowerLeaseResponse): Boolean {
        if (response.seq <= seq - TRACKED_REQUESTS) return false
        val requestSentAtMs = sentAtMs[slot(response.seq)]
        if (response.granted) {
            leaseUntilMs[from] = maxOf(leaseUntilMs[from], requestSentAtMs + minusClockDrift(followerLeaseMs))
        }
        if (response.stateServed) servedAtMs[from] = maxOf(servedAtMs[from], requestSentAtMs)
        isPrepared[from] = response.prepared
        return true
    }

    /**
     * Until when this leader holds leases of enough peers to form a majority with it; Long.MAX_VALUE without peers.
     */
    fun majorityUntilMs(): Long {
        if (majority == 1) return Long.MAX_VALUE
        val sorted = leaseUntilMs.sortedArray()
        return sorted[sorted.size - (majority - 1)]
    }

    /** Whether some peer confirmed, in a response to a request sent after [atMs], that the state service serves it. */
    fun anyPeerServedAfter(atMs: Long): Boolean = servedAtMs.any { it > atMs }

    private fun slot(seq: Long): Int = (seq % TRACKED_REQUESTS).toInt()

    private companion object {
        /** Responses to older requests are dropped. */
        const val TRACKED_REQUESTS = 64
        const val REQUESTS_PER_LEASE = 4
    }
}
