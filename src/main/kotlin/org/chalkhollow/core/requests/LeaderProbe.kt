package org.chalkhollow.core.requests

import it.unimi.dsi.fastutil.longs.Long2LongLinkedOpenHashMap
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.ForwardedCounts
import org.chalkhollow.core.leadership.Leadership
import org.chalkhollow.peer.PeerMessage

/**
 * Finds out whether the requests that this follower forwards get to the leader and their responses back. Hearing the
 * leader does not show that: a packet filter may refuse the connections of one side only. A probe is a forwarded query
 * for [PROBE_JOB_ID], which no job has, so leaders of all versions respond to it. Owns the probes that have no response
 * yet, and the outcomes by peer. Called by [RequestHandler].
 */
internal class LeaderProbe(private val context: CoreContext, private val leadership: Leadership) {
    private val histories = List(leadership.peerCount) { ProbeHistory() }
    private var probedLeader = NO_PEER

    /** When the pending probes were sent, by sequence number, the oldest first. */
    private val pending = Long2LongLinkedOpenHashMap()

    // Random, so that a response to an earlier incarnation of this controller is not taken for one to this incarnation.
    private val firstSeq = context.random.nextLong(FIRST_SEQ_BOUND)
    private var nextSeq = firstSeq
    private var lastTickMs = context.steady
    private var lastSentMs = context.steady

    /** The outcomes of all probes so far. */
    var counts = ForwardedCounts()
        private set

    /** Whether the leader responds to what this controller forwards; true until probes show otherwise. */
    val leaderResponds: Boolean get() = probedLeader == NO_PEER || histories[probedLeader].isResponding

    /** Sends a probe if one is due, and counts the probes that got no response in time. */
    fun tick() {
        val nowMs = context.steady
        // This process stood still, and responses may wait to be read: the probes on their way prove nothing.
        if (nowMs - lastTickMs > MAX_TICK_GAP_MS) pending.clear()
        lastTickMs = nowMs
        val leader = leadership.reachableLeader()
        // Without a word from the leader, it may have failed or stand still, which says nothing about the link.
        if (leader < 0) return pending.clear()
        if (leader != probedLeader) follow(leader)
        expire(leader)
        if (nowMs - lastSentMs >= INTERVAL_MS) send(leader)
    }

    private fun follow(leader: Int) {
        pending.clear()
        probedLeader = leader
        histories[leader].startOver()
    }

    private fun expire(leader: Int) {
        while (!pending.isEmpty() && context.steady - pending.get(pending.firstLongKey()) >= TIMEOUT_MS) {
            pending.removeFirstLong()
            counts = counts.copy(timedOut = counts.timedOut + 1)
            histories[leader].failed(context.steady)
        }
    }

    private fun send(leader: Int) {
        lastSentMs = context.steady
        val seq = nextSeq++
        pending.put(seq, context.steady)
        val kind = ForwardedKind.QUERY.wireNumber
        context.emit(Effect.Send(leader, PeerMessage.ForwardedRequest(seq, kind, PROBE_JOB_ID, ByteArray(0))))
    }

    /** Handles [response] if it is one to a probe of this incarnation; returns false otherwise. */
    fun onResponse(response: PeerMessage.ForwardedResponse): Boolean {
        if (response.seq !in firstSeq until nextSeq) return false
        if (!pending.containsKey(response.seq)) {
            context.dropped.count(DroppedInput.MESSAGE_LATE)
            return true
        }
        pending.remove(response.seq)
        counts = counts.copy(answered = counts.answered + 1)
        histories[probedLeader].succeeded(context.steady)
        return true
    }

    companion object {
        /** No job has an empty id, since no path of a user's request leads to it. */
        const val PROBE_JOB_ID = ""
        const val INTERVAL_MS = 1000L

        /** Longer than users' requests wait, so that a leader that is merely slow counts as responding. */
        const val TIMEOUT_MS = 3000L
        private const val NO_PEER = -1
        private const val MAX_TICK_GAP_MS = 1000L
        private const val FIRST_SEQ_BOUND = 1L shl 61
    }
}
