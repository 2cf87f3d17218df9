package org.chalkhollow.core.requests

import org.chalkhollow.core.Controller
import org.chalkhollow.core.common.CloudOp
import org.chalkhollow.core.common.CloudReply
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.Input
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.common.StateOp
import org.chalkhollow.core.common.StateReply
import org.chalkhollow.core.common.UserRequest
import org.chalkhollow.core.requests.Submissions.body
import org.chalkhollow.core.requests.Submissions.malformed
import org.chalkhollow.core.requests.Submissions.submission
import org.chalkhollow.model.KeyValuePage
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.simulation.Simulation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** A leader that has not read everything, or is none any more, does not know what was never accepted. */
class UndecidedRequestsTest {
    private val bad = submission(malformed("j-000001").first())
    private val requests =
        listOf(
            bad,
            submission(body("j-000001", "owner" to "nobody")),
            UserRequest.Query("j-000001"),
            UserRequest.Cancel("j-000001"),
        )

    /**
     * A controller that nobody else stands against; [lists]: whether the state service tells it what was written,
     * without which it does not lead.
     */
    private fun elected(lists: Boolean): Controller {
        val c = Controller(Simulation(1).settings, OperatorSettings(), 1, Now(0, 0))
        val pending = ArrayDeque(c.step(Now(0, 0), Input.Tick))
        var revision = 1L
        while (true) {
            val e = pending.removeFirstOrNull() ?: break
            if (e is Effect.Cloud && e.op == CloudOp.Catalog) {
                val catalog = CloudReply.Catalog(Simulation(1).types)
                pending.addAll(c.step(Now(10, 10), Input.Cloud(e.ticket, catalog)))
            }
            if (e !is Effect.State || e.op is StateOp.List && !lists) continue
            val reply =
                when (e.op) {
                    is StateOp.Read -> StateReply.Missing
                    is StateOp.List -> StateReply.Page(KeyValuePage(emptyList(), false))
                    is StateOp.Commit -> StateReply.Committed(++revision)
                }
            pending.addAll(c.step(Now(10, 10), Input.State(e.ticket, reply)))
        }
        assertEquals(lists, c.isLeader(Now(20, 20)))
        return c
    }

    private fun forwarded(request: UserRequest) =
        Input.Peer(
            0,
            when (request) {
                is UserRequest.Submit -> PeerMessage.ForwardedRequest(5, 1, request.jobId, request.raw)
                is UserRequest.Invalid -> PeerMessage.ForwardedRequest(5, 1, request.jobId, request.raw)
                is UserRequest.Query -> PeerMessage.ForwardedRequest(5, 2, request.jobId, ByteArray(0))
                is UserRequest.Cancel -> PeerMessage.ForwardedRequest(5, 3, request.jobId, ByteArray(0))
            },
        )

    private fun Controller.responses(request: UserRequest): List<Effect> =
        step(Now(20, 20), Input.User(7, request)).filterIsInstance<Effect.Response>() +
            step(Now(20, 20), forwarded(request))
                .filter { it is Effect.Send && it.message is PeerMessage.ForwardedResponse }

    private fun status(effect: Effect?): Int? =
        when (effect) {
            is Effect.Response -> effect.status
            is Effect.Send -> (effect.message as? PeerMessage.ForwardedResponse)?.status
            else -> null
        }

    @Test
    fun `a candidate that has not read everything does not lead and refuses nothing`() {
        val c = elected(lists = false)
        for (request in requests) assertEquals(listOf(503, 503), c.responses(request).map(::status), "$request")
    }

    @Test
    fun `a refusal that was decided before standing still is not told by a leader that is none any more`() {
        val c = elected(lists = true)
        for (request in requests - requests[1]) {
            val responses = c.responses(request)
            assertEquals(listOf(if (request === bad) 400 else 404), responses.map(::status).distinct(), "$request")
            assertEquals(responses.map(::status), responses.map { status(c.recheck(Now(300, 300), it)) })
            assertEquals(listOf(503, 503), responses.map { status(c.recheck(Now(30_000, 30_000), it)) })
        }
    }

    @Test
    fun `a follower without a leader refuses nothing that names a job`() {
        val c = Controller(Simulation(1).settings, OperatorSettings(), 1, Now(0, 0))
        for (request in requests) assertEquals(listOf(503, 503), c.responses(request).map(::status), "$request")
    }
}
