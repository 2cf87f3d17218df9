package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.NEVER
import org.chalkhollow.core.common.minusClockDrift
import org.chalkhollow.peer.PeerMessage

/**
 * Owns the follower leases that this leader holds, and what the peers told with them: whether the state service serves
 * them, and whether they could take over at once. A follower lease counts from when it was requested, so it ends here
 * before it ends at the peer that granted it. Called by [LeaderLease].
 */
class FollowerLeases(private val context: CoreContext, private val peerCount: Int, private val followerLeaseMs: Long) {
    private val majority = majorityWith(peerCount)
    private var seq = 0L
    private var requestedAt = NEVER

    /** When the last [TRACKED_REQUESTS] requests were sent, by their number. */
    private val sentAt = LongArray(TRACKED_REQUESTS) { NEVER }

    /** By peer: until when its lease is good. */
    private val leaseUntil = LongArray(peerCount) { NEVER }

    /** By peer: when the newest lease was requested that came with word that the state service serves that peer. */
    private val servedAt = LongArray(peerCount) { NEVER }

    /** By peer: whether it has read all that this leader wrote, so that it could take over at once. */
    private val prepared = BooleanArray(peerCount)

    /** Whether some peer could take over at once. */
    val anyPeerPrepared: Boolean get() = prepared.any { it }

    /** A new term begins, for which nothing was granted yet. Requests are numbered on. */
    fun reset() {
        leaseUntil.fill(NEVER)
        servedAt.fill(NEVER)
        prepared.fill(false)
        requestedAt = NEVER
    }

    /** Asks all peers when it is due, [REQUESTS_PER_LEASE] times within the length of a lease. */
    fun requestIfDue(fencingToken: Long, ready: Boolean) {
        val now = context.steady
        if (now - requestedAt < followerLeaseMs / REQUESTS_PER_LEASE) return
        requestedAt = now
        seq++
        sentAt[slot(seq)] = now
        for (peer in 0 until peerCount) {
            context.emit(Effect.Send(peer, PeerMessage.FollowerLeaseRequest(fencingToken, seq, ready)))
        }
    }

    /** Takes in an answer; false if it is too old to tell when it was asked for. */
    fun accept(from: Int, response: PeerMessage.FollowerLeaseResponse): Boolean {
        if (response.seq <= seq - TRACKED_REQUESTS) return false
        val askedAt = sentAt[slot(response.seq)]
        if (response.granted) leaseUntil[from] = maxOf(leaseUntil[from], askedAt + minusClockDrift(followerLeaseMs))
        if (response.stateServed) servedAt[from] = maxOf(servedAt[from], askedAt)
        prepared[from] = response.prepared
        return true
    }

    /** Until when a majority, this controller counted, has granted not to campaign. */
    fun majorityUntil(): Long {
        if (majority == 1) return Long.MAX_VALUE
        val sorted = leaseUntil.sortedArray()
        return sorted[sorted.size - (majority - 1)]
    }

    /** Whether some peer was served by the state service after [moment]. */
    fun anyPeerServedAfter(moment: Long): Boolean = servedAt.any { it > moment }

    private fun slot(seq: Long): Int = (seq % TRACKED_REQUESTS).toInt()

    private companion object {
        /** An answer to an older request is of no use. */
        const val TRACKED_REQUESTS = 64
        const val REQUESTS_PER_LEASE = 4
    }
}
