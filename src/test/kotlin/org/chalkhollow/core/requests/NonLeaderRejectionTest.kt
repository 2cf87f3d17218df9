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

/**
 * Guards against a controller rejecting a request although the job was accepted. A candidate that has not loaded the
 * stored records, a former leader and a follower do not know which jobs were accepted, so they must respond with 503.
 */
class NonLeaderRejectionTest {
    private val malformedSubmission = submission(malformed("j-000001").first())
    private val requests =
        listOf(
            malformedSubmission,
            submission(body("j-000001", "owner" to "nobody")),
            UserRequest.Query("j-000001"),
            UserRequest.Cancel("j-000001"),
        )

    /**
     * Runs the election of a controller without rivals. [canListRecords] says whether the state service replies to its
     * calls that list the stored records; without the replies, it does not lead.
     */
    private fun startController(canListRecords: Boolean): Controller {
        val controller = Controller(Simulation(1).settings, OperatorSettings(), 1, Now(0, 0))
        val pending = ArrayDeque(controller.step(Now(0, 0), Input.Tick))
        var revision = 1L
        while (true) {
            val effect = pending.removeFirstOrNull() ?: break
            if (effect is Effect.Cloud && effect.op == CloudOp.Catalog) {
                val catalog = CloudReply.Catalog(Simulation(1).types)
                pending.addAll(controller.step(Now(10, 10), Input.Cloud(effect.ticket, catalog)))
            }
            if (effect !is Effect.State || effect.op is StateOp.List && !canListRecords) continue
            val reply =
                when (effect.op) {
                    is StateOp.Read -> StateReply.Missing
                    is StateOp.List -> StateReply.Page(KeyValuePage(emptyList(), false))
                    is StateOp.Commit -> StateReply.Committed(++revision)
                }
            pending.addAll(controller.step(Now(10, 10), Input.State(effect.ticket, reply)))
        }
        assertEquals(canListRecords, controller.isLeader(Now(20, 20)))
        return controller
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
    fun `a candidate that has not loaded the stored records does not lead and rejects nothing`() {
        val controller = startController(canListRecords = false)
        for (request in requests) {
            assertEquals(listOf(503, 503), controller.responses(request).map(::status), "$request")
        }
    }

    @Test
    fun `a rejection that is sent only after the leases have expired becomes a 503`() {
        val controller = startController(canListRecords = true)
        for (request in requests - requests[1]) {
            val responses = controller.responses(request)
            assertEquals(
                listOf(if (request === malformedSubmission) 400 else 404),
                responses.map(::status).distinct(),
                "$request",
            )
            assertEquals(responses.map(::status), responses.map { status(controller.recheck(Now(300, 300), it)) })
            assertEquals(listOf(503, 503), responses.map { status(controller.recheck(Now(30_000, 30_000), it)) })
        }
    }

    @Test
    fun `a follower without a leader rejects no request that contains a job id`() {
        val controller = Controller(Simulation(1).settings, OperatorSettings(), 1, Now(0, 0))
        for (request in requests) {
            assertEquals(listOf(503, 503), controller.responses(request).map(::status), "$request")
        }
    }
}
