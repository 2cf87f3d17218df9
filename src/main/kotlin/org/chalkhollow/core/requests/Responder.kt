package org.chalkhollow.core.requests

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.UserRequest
import org.chalkhollow.model.HttpStatus
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.wire.Pack

/**
 * Responds to requests, whether they came here or were forwarded by another controller. Owns where forwarded requests
 * came from: each has a negative call number, those that came here have the runtime's, which are not negative. Called
 * by the other classes of this package.
 */
internal class Responder(private val context: CoreContext) {
    /** The controller that forwarded a request, and its number for it. */
    private class Origin(val peer: Int, val seq: Long)

    private val origins = Int2ObjectOpenHashMap<Origin>()
    private var nextForwardedCall = FIRST_FORWARDED_CALL

    /** The call number of the request that [peer] forwarded as its number [seq]. */
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

    /** Nothing was decided; the user may repeat the request. */
    fun respondUnavailable(call: Int) =
        respond(call, HttpStatus.UNAVAILABLE, body = null, retryAfterS = UserRequest.RETRY_AFTER_S)

    private companion object {
        const val FIRST_FORWARDED_CALL = -1

        /** Numbers are used again from here on; no request waits for nearly as long. */
        const val LAST_FORWARDED_CALL = -1_000_000_000
        val EMPTY_BODY = ByteArray(0)
    }
}
