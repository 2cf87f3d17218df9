package org.chalkhollow.core.requests

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.common.UserRequest
import org.chalkhollow.core.leadership.Leadership
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.settings.OperatorSettings
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class RequestForwarderTest {
    private object NoEvents : Leadership.Events {
        override fun requestSnapshot(revision: Long) = Unit

        override fun snapshotComplete(revision: Long) = false

        override fun discardSnapshot() = Unit

        override fun onElected(fencingToken: Long, revision: Long, writes: Long, snapshotRevision: Long) = Unit

        override fun onSteppedDown() = Unit
    }

    private val context = CoreContext(1).also { it.now = Now(0, 0) }
    private val leadership = Leadership(context, "m", listOf("p0", "p1"), 77, OperatorSettings(), 0, 0, NoEvents)
    private val forwarder = RequestForwarder(context, leadership, Responder(context))
    private val query = UserRequest.Query("j-1")

    /** The peer with index 1 sends a lease request as the leader. */
    private fun receiveLeaseRequest(ready: Boolean = true) {
        leadership.onPeer(1, PeerMessage.FollowerLeaseRequest(5, 1, ready))
        context.drain()
    }

    private fun forwarded(): List<PeerMessage.ForwardedRequest> =
        context.drain().mapNotNull { (it as? Effect.Send)?.message as? PeerMessage.ForwardedRequest }

    private fun responses(): List<Pair<Int, Int>> =
        context.drain().filterIsInstance<Effect.Response>().map { it.call to it.status }

    @Test
    fun `requests get 503 while no ready leader is known`() {
        forwarder.forward(4, query)
        assertEquals(listOf(4 to 503), responses())
        receiveLeaseRequest(ready = false)
        forwarder.forward(5, query)
        assertEquals(listOf(5 to 503), responses())
    }

    @Test
    fun `the leader's response reaches the user once, and duplicate or unknown responses are dropped`() {
        receiveLeaseRequest()
        forwarder.forward(4, query)
        val request = forwarded().single()
        assertEquals(ForwardedKind.QUERY.wireNumber, request.kind)
        val response = PeerMessage.ForwardedResponse(request.seq, 404, ByteArray(0), 0)
        repeat(2) { forwarder.onResponse(response) }
        assertEquals(listOf(4 to 404), responses())
        assertEquals(1L, context.dropped.counts()[DroppedInput.MESSAGE_LATE])
        forwarder.onResponse(PeerMessage.ForwardedResponse(request.seq + 1, 404, ByteArray(0), 0))
        assertEquals(1L, context.dropped.counts()[DroppedInput.MESSAGE_OTHER_INCARNATION])
        assertEquals(emptyList<Pair<Int, Int>>(), responses())
    }

    @Test
    fun `a request without a response within the time-out gets 503, and a later response is dropped`() {
        receiveLeaseRequest()
        forwarder.forward(4, query)
        val request = forwarded().single()
        context.now = Now(1499, 1499)
        forwarder.expire()
        assertEquals(emptyList<Pair<Int, Int>>(), responses())
        context.now = Now(1500, 1500)
        forwarder.expire()
        forwarder.onResponse(PeerMessage.ForwardedResponse(request.seq, 200, ByteArray(0), 0))
        assertEquals(listOf(4 to 503), responses())
    }

    @Test
    fun `at most 500 requests are forwarded without a response, and further requests get 503`() {
        receiveLeaseRequest()
        repeat(501) { forwarder.forward(it, query) }
        val effects = context.drain()
        assertEquals(500, effects.count { it is Effect.Send })
        assertEquals(listOf(500 to 503), effects.filterIsInstance<Effect.Response>().map { it.call to it.status })
    }
}
