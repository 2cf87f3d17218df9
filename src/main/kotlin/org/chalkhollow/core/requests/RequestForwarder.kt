package org.chalkhollow.core.requests

import it.unimi.dsi.fastutil.longs.Long2ObjectLinkedOpenHashMap
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.UserRequest
import org.chalkhollow.core.leadership.Leadership
import org.chalkhollow.peer.PeerMessage

/**
 * Forwards users' requests from a follower to the leader. Owns which forwarded requests have no response yet; each is
 * responded to once, by the leader's response or with 503 when that does not come in time. Called by [RequestHandler].
 */
internal class RequestForwarder(
    private val context: CoreContext,
    private val leadership: Leadership,
    private val responder: Responder,
) {
    private class Forwarded(val call: Int, val deadline: Long)

    /** By their numbers, the oldest first. */
    private val pending = Long2ObjectLinkedOpenHashMap<Forwarded>()

    // Not from 1: a response to an earlier incarnation of this controller must not be taken for one to this.
    private val firstSeq = context.random.nextLong(FIRST_SEQ_BOUND)
    private var nextSeq = firstSeq

    /** Forwards [request]; responds with 503 when no leader can take it. */
    fun forward(call: Int, request: UserRequest) {
        val leader = leadership.reachableLeader()
        if (leader < 0 || !leadership.leaderIsReady() || pending.size >= MAX_PENDING) {
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
        val body = response.body.takeIf { it.isNotEmpty() }
        context.emit(Effect.Response(forwarded.call, response.status, body, response.retryAfterS))
    }

    private fun countDropped(response: PeerMessage.ForwardedResponse) {
        val ours = response.seq in firstSeq until nextSeq
        context.dropped.count(if (ours) DroppedInput.MESSAGE_LATE else DroppedInput.MESSAGE_OTHER_INCARNATION)
    }

    /** Responds to requests whose response has not come in time. */
    fun expire() {
        while (!pending.isEmpty()) {
            val seq = pending.firstLongKey()
            val oldest = pending.get(seq)
            if (oldest.deadline > context.steady) return
            pending.remove(seq)
            responder.respondUnavailable(oldest.call)
        }
    }

    private companion object {
        const val TIMEOUT_MS = 1500L
        const val MAX_PENDING = 500
        const val FIRST_SEQ_BOUND = 1L shl 61
        val EMPTY_BODY = ByteArray(0)
    }
}
