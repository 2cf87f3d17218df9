package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.NEVER
import org.chalkhollow.core.common.minusClockDrift
import org.chalkhollow.peer.PeerMessage

/**
 * Owns what the peers have promised this leader, and what they told with it: whether the state service serves them, and
 * whether they could follow at once. A promise counts from when it was asked for, so it ends here before it ends at the
 * peer. Called by [Leadership].
 */
class FollowerLeases(private val context: CoreContext, private val peers: Int, private val followerLeaseMs: Long) {
    private val majority = (peers + 1) / 2 + 1
    private var seq = 0L
    private var askedAt = NEVER
    private val sentAt = LongArray(SENDS) { NEVER }
    private val until = LongArray(peers) { NEVER }

    /** By peer: when the newest promise was asked for that came with word that the state service serves that peer. */
    private val servedAt = LongArray(peers) { NEVER }

    /** By peer: whether it has read all that this leader wrote, so that it could take over at once. */
    private val prepared = BooleanArray(peers)

    /** Whether some peer could take over at once. */
    val anyPrepared: Boolean get() = prepared.any { it }

    fun start() {
        until.fill(NEVER)
        servedAt.fill(NEVER)
        prepared.fill(false)
        askedAt = NEVER
    }

    /** Asks all peers when it is due, [PROMISES_EACH] times within what a promise lasts. */
    fun askIfDue(fencingToken: Long, ready: Boolean) {
        val t = context.steady
        if (t - askedAt < followerLeaseMs / PROMISES_EACH) return
        askedAt = t
        seq++
        sentAt[(seq % SENDS).toInt()] = t
        for (p in 0 until peers) {
            context.emit(
                Effect.Send(p, PeerMessage.FollowerLeaseRequest(fencingToken, seq, ready)),
            )
        }
    }

    /** Takes in an answer; false if it is too old to tell when it was asked for. */
    fun take(from: Int, promise: PeerMessage.FollowerLeaseResponse): Boolean {
        if (promise.seq <= seq - SENDS) return false
        val askedFor = sentAt[(promise.seq % SENDS).toInt()]
        if (promise.granted) until[from] = maxOf(until[from], askedFor + minusClockDrift(followerLeaseMs))
        if (promise.stateServed) servedAt[from] = maxOf(servedAt[from], askedFor)
        prepared[from] = promise.prepared
        return true
    }

    /** Until when a majority, this controller counted, has promised not to stand. */
    fun majorityUntil(): Long {
        if (majority == 1) return Long.MAX_VALUE
        val sorted = until.sortedArray()
        return sorted[sorted.size - (majority - 1)]
    }

    /** Whether some peer was served by the state service after [t]. */
    fun servedAfter(t: Long): Boolean = servedAt.any { it > t }

    private companion object {
        /** So many askings are remembered; an answer to an older one is of no use. */
        const val SENDS = 64
        const val PROMISES_EACH = 4
    }
}
