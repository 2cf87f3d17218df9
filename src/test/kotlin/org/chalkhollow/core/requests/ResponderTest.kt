package org.chalkhollow.core.requests

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.Now
import org.chalkhollow.peer.PeerMessage
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ResponderTest {
    private val context = CoreContext(1).also { it.now = Now(0, 0) }
    private val responder = Responder(context)

    @Test
    fun `respondUnavailable sends 503 with a retry time to the user`() {
        responder.respondUnavailable(4)
        val response = context.drain().single() as Effect.Response
        assertEquals(listOf(4, 503, 1), listOf(response.call, response.status, response.retryAfterS))
    }

    @Test
    fun `a forwarded request gets one response, sent to the peer that forwarded it`() {
        val first = responder.registerForwarded(peer = 1, seq = 70)
        val second = responder.registerForwarded(peer = 2, seq = 70)
        responder.respond(second, 200)
        responder.respond(first, 404)
        responder.respond(first, 404)
        val sent = context.drain().map { it as Effect.Send }
        assertEquals(
            listOf(2 to 200, 1 to 404),
            sent.map {
                it.peer to
                    (it.message as PeerMessage.ForwardedResponse).status
            },
        )
    }

    // Peers of other versions use these numbers, too.
    @Test
    fun `the numbers of the kinds of forwarded requests do not change`() {
        assertEquals(
            listOf(1, 2, 3),
            listOf(ForwardedKind.SUBMIT, ForwardedKind.QUERY, ForwardedKind.CANCEL).map {
                it.wireNumber
            },
        )
        for (kind in ForwardedKind.entries) assertEquals(kind, ForwardedKind.of(kind.wireNumber))
        for (unknown in listOf(0, 4, 9, -1)) assertNull(ForwardedKind.of(unknown))
        assertTrue(ForwardedKind.entries.size == 3)
    }
}
