package org.chalkhollow.core.requests

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.UserRequest
import org.chalkhollow.model.HttpStatus
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.wire.Pack

/**
 * Responds to requests, both those that users sent to this controller and those that a peer forwarded. Owns the origins
 * of forwarded requests. A forwarded request gets a negative call number here; the runtime's call numbers are not
 * negative. Called by the other classes of this package.
 */
internal class Responder(private val context: CoreContext) {
    /** The peer that forwarded a request, and the sequence number that the peer gave it. */
    private class Origin(val peer: Int, val seq: Long)

    private val origins = Int2ObjectOpenHashMap<Origin>()
    private var nextForwardedCall = FIRST_FORWARDED_CALL

    /** Returns a new call number for the request that [peer] forwarded with its sequence number [seq]. */
    fun registerForwarded(peer: Int, seq: Long): Int {
        val call = nextForwardedCall--
        if (nextForwardedCall < LAST_FORWARDED_CALL) nextForwardedCall = FIRST_FORWARDED_CALL
        origins.put(call, Origin(peer, seq))
        return call
    }

    fun respond(call: Int, status: Int, body: Map<String, Any?>? = null, retryAfterS: Int = 0) {
        if (call >= 0) return context.respond(call, status, body, retryAfterS)
        val origin = origins.remove(call) ?: return
        val bytes = body?.let(Pack::encode) ?: EMPTY_BODY
        context.emit(Effect.Send(origin.peer, PeerMessage.ForwardedResponse(origin.seq, status, bytes, retryAfterS)))
    }

    /** Responds that nothing was decided and that the user may retry. */
    fun respondUnavailable(call: Int) =
        respond(call, HttpStatus.UNAVAILABLE, body = null, retryAfterS = UserRequest.RETRY_AFTER_S)

    private companion object {
        const val FIRST_FORWARDED_CALL = -1

        /** After this number the numbering restarts; by then, requests with the first numbers have their response. */
        const val LAST_FORWARDED_CALL = -1_000_000_000
        val EMPTY_BODY = ByteArray(0)
    }
}
