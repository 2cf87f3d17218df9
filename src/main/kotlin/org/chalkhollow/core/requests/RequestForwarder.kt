package org.chalkhollow.core.requests

import it.unimi.dsi.fastutil.longs.Long2ObjectLinkedOpenHashMap
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.ForwardedCounts
import org.chalkhollow.core.common.UserRequest
import org.chalkhollow.core.leadership.Leadership
import org.chalkhollow.peer.PeerMessage

/**
 * Forwards users' requests from a follower to the leader. Owns the forwarded requests that have no response yet. Each
 * gets one response: the leader's, or 503 after a time-out. Called by [RequestHandler].
 */
internal class RequestForwarder(
    private val context: CoreContext,
    private val leadership: Leadership,
    private val responder: Responder,
) {
    private class Forwarded(val call: Int, val deadlineMs: Long)

    /** By sequence number, the oldest first. */
    private val pending = Long2ObjectLinkedOpenHashMap<Forwarded>()

    // Random, so that a response to an earlier incarnation of this controller is not taken for one to this incarnation.
    private val firstSeq = context.random.nextLong(FIRST_SEQ_BOUND)
    private var nextSeq = firstSeq

    /** What became of the requests so far. */
    var counts = ForwardedCounts()
        private set

    /** Forwards [request]; responds with 503 if no ready leader is reachable or too many responses are pending. */
    fun forward(call: Int, request: UserRequest) {
        val leader = leadership.reachableLeader()
        if (leader < 0 || !leadership.leaderIsReady() || pending.size >= MAX_PENDING_REQUESTS) {
            counts = counts.copy(rejected = counts.rejected + 1)
            return responder.respondUnavailable(call)
        }
        val seq = nextSeq++
        pending.put(seq, Forwarded(call, context.steady + TIMEOUT_MS))
        context.emit(Effect.Send(leader, message(seq, request)))
    }

    private fun message(seq: Long, request: UserRequest): PeerMessage.ForwardedRequest {
        val (kind, body) =
            when (request) {
                is UserRequest.Submit -> ForwardedKind.SUBMIT to request.raw
                is UserRequest.Invalid -> ForwardedKind.SUBMIT to request.raw
                is UserRequest.Query -> ForwardedKind.QUERY to EMPTY_BODY
                is UserRequest.Cancel -> ForwardedKind.CANCEL to EMPTY_BODY
            }
        return PeerMessage.ForwardedRequest(seq, kind.wireNumber, request.jobId, body)
    }

    fun onResponse(response: PeerMessage.ForwardedResponse) {
        val forwarded = pending.remove(response.seq) ?: return countDropped(response)
        counts = counts.copy(answered = counts.answered + 1)
        val body = response.body.takeIf { it.isNotEmpty() }
        context.emit(Effect.Response(forwarded.call, response.status, body, response.retryAfterS))
    }

    private fun countDropped(response: PeerMessage.ForwardedResponse) {
        val isOfThisIncarnation = response.seq in firstSeq until nextSeq
        context.dropped.count(
            if (isOfThisIncarnation) DroppedInput.MESSAGE_LATE else DroppedInput.MESSAGE_OTHER_INCARNATION,
        )
    }

    /** Responds with 503 to requests that got no response from the leader in time. */
    fun expire() {
        while (!pending.isEmpty()) {
            val seq = pending.firstLongKey()
            val oldest = pending.get(seq)
            if (oldest.deadlineMs > context.steady) return
            pending.remove(seq)
            counts = counts.copy(timedOut = counts.timedOut + 1)
            responder.respondUnavailable(oldest.call)
        }
    }

    private companion object {
        const val TIMEOUT_MS = 1500L
        const val MAX_PENDING_REQUESTS = 500
        const val FIRST_SEQ_BOUND = 1L shl 61
        val EMPTY_BODY = ByteArray(0)
    }
}
