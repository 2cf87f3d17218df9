package org.chalkhollow.core.requests

import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.UserRequest
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.core.requests.Submissions.body
import org.chalkhollow.core.requests.Submissions.malformed
import org.chalkhollow.core.requests.Submissions.submission
import org.chalkhollow.model.JobState
import org.chalkhollow.model.KeyValue
import org.chalkhollow.peer.Frames
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.settings.StateLimits
import org.chalkhollow.simulation.FakeCloud
import org.chalkhollow.simulation.SimulatedController
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.electedSimulation
import org.chalkhollow.wire.Fields
import org.chalkhollow.wire.Pack
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The responses to valid and invalid requests that users send to the leader or through a follower. */
class RequestHandlerTest {
    private val Simulation.leader: SimulatedController get() = nodes.single { it.leads }

    /** The leader and a follower that forwards requests to it. */
    private val Simulation.entryPoints: List<SimulatedController> get() = listOf(leader, nodes.first { !it.leads })

    private fun Simulation.response(
        node: SimulatedController,
        request: UserRequest,
        waitMs: Long = 1900,
    ): Effect.Response {
        var response: Effect.Response? = null
        node.receiveRequest(request) { response = it }
        clock.runUntil(clock.timeMs + waitMs)
        return checkNotNull(response) { "no response" }
    }

    private fun state(response: Effect.Response): String =
        Fields.of(Pack.decode(checkNotNull(response.body)), "response").text("status")

    private fun Simulation.expectResponse(status: Int, state: String?, request: UserRequest) {
        for (node in entryPoints) {
            val response = response(node, request)
            assertEquals(
                status to state,
                response.status to response.body?.let { state(response) },
                "${request.jobId} at ${node.label}",
            )
            if (status == 503) assertTrue(response.retryAfterS > 0, "503 without Retry-After")
        }
    }

    /** Submits a job of one task, runs it to completion and returns its id. */
    private fun Simulation.completeJob(): String {
        val id = users.submit { it.copy(tasks = 1, types = null, zone = null, expectedS = 1.0) }
        clock.runUntil(clock.timeMs + 40_000)
        return id
    }

    @Test
    fun `a malformed submission of an unknown job gets 400 from leader and follower, and is not accepted`() {
        val simulation = electedSimulation(1)
        for (bad in malformed("j-000001")) simulation.expectResponse(400, null, submission(bad))
        simulation.expectResponse(404, null, UserRequest.Query("j-000001"))
    }

    @Test
    fun `a job whose record the state service rejects gets 503 and is not accepted, while other jobs are`() {
        val simulation = electedSimulation(4)
        simulation.state.loweredLimits = StateLimits(80.0, 20.0, 400, 12)
        val large = body("j-000004", "flavours" to List(12) { "type-$it-" + "x".repeat(40) } + "small")
        assertEquals(503, simulation.response(simulation.leader, submission(large)).status)
        assertEquals(201, simulation.response(simulation.leader, submission(body("j-000005"))).status)
        assertEquals(404, simulation.response(simulation.leader, UserRequest.Query("j-000004")).status)
        assertTrue(simulation.state.rejectedCount > 0)
        simulation.state.loweredLimits = null
        assertEquals(201, simulation.response(simulation.leader, submission(large)).status)
        simulation.state.loweredLimits = StateLimits(80.0, 20.0, 400, 12)
        val cancellation = simulation.response(simulation.leader, UserRequest.Cancel("j-000004"))
        assertEquals(200 to "aborted", cancellation.status to state(cancellation))
    }

    @Test
    fun `all tasks complete although the state service rejects large markers, and rejected hints are dropped`() {
        val simulation = electedSimulation(5)
        simulation.state.loweredLimits = StateLimits(80.0, 20.0, 600, 3)
        repeat(6) {
            simulation.users.submit {
                it.copy(
                    tasks = 12,
                    types = null,
                    zone = null,
                    together = false,
                    spread = false,
                    dueS = null,
                    expectedS = 1.0,
                )
            }
        }
        simulation.clock.runUntil(simulation.clock.timeMs + 150_000)
        assertTrue(simulation.state.rejectedCount > 0)
        assertEquals(emptyList<String>(), simulation.rules.violations)
        assertEquals(6, simulation.rules.acceptedCount)
        val completions = simulation.rules.completedTaskCount
        assertTrue(completions >= 72, "$completions tasks were completed: ${simulation.rules.unfinishedJobs()}")
    }

    @Test
    fun `a repeated submission of an accepted job gets its state, even if it differs, can never run or is malformed`() {
        val simulation = electedSimulation(2)
        val id = "j-000002"
        assertEquals(201, simulation.response(simulation.leader, submission(body(id))).status)
        val different = listOf(body(id, "pieces" to 9), body(id, "owner" to "nobody"), body(id, "vcpus" to 1000.0))
        val repetitions = malformed(id) + listOf(body(id)) + different
        for (repetition in repetitions) {
            for (node in simulation.entryPoints) {
                val response = simulation.response(node, submission(repetition))
                assertEquals(200, response.status)
                assertTrue(state(response) in setOf("queued", "running"), state(response))
            }
        }
    }

    @Test
    fun `a new leader responds to a malformed repetition with the stored state of the job`() {
        val simulation = electedSimulation(3)
        val id = simulation.completeJob()
        simulation.leader.let {
            it.crash()
            simulation.clock.after(3000) { it.start() }
        }
        simulation.clock.runUntil(simulation.clock.timeMs + 30_000)
        for (bad in malformed(id)) simulation.expectResponse(200, "done", submission(bad))
    }

    @Test
    fun `while a job's record is being written, a malformed submission of it gets 503 at once`() {
        val simulation = electedSimulation(4)
        simulation.state.outage(10_000)
        var accepted: Effect.Response? = null
        simulation.leader.receiveRequest(submission(body("j-000004"))) { accepted = it }
        simulation.expectResponse(503, null, submission(malformed("j-000004").first()))
        simulation.expectResponse(400, null, submission(malformed("j-000005").first()))
        assertEquals(503, accepted?.status)
        simulation.clock.runUntil(simulation.clock.timeMs + 20_000)
        simulation.expectResponse(200, "queued", submission(malformed("j-000004").first()))
    }

    @Test
    fun `a job that can never run gets 422, even while the state service accepts no writes`() {
        val simulation = electedSimulation(5)
        val infeasible =
            listOf(
                body("j-000006", "owner" to "nobody"),
                body("j-000006", "vcpus" to 17.0),
                body("j-000006", "flavours" to listOf("huge")),
                body("j-000006", "site" to "north"),
            )
        for (bad in infeasible) simulation.expectResponse(422, null, submission(bad))
        simulation.state.outage(25_000)
        simulation.clock.runUntil(simulation.clock.timeMs + 3000)
        for (bad in infeasible) simulation.expectResponse(422, null, submission(bad))
        simulation.expectResponse(503, null, submission(body("j-000006")))
    }

    @Test
    fun `while the machine types are unknown, well-formed submissions get 503`() {
        val simulation =
            electedSimulation(6) { before ->
                before.nodes.forEach { before.network.cut(it.label, FakeCloud.NAME, 30_000, false) }
            }
        simulation.expectResponse(503, null, submission(body("j-000007")))
        simulation.expectResponse(503, null, submission(body("j-000007", "owner" to "nobody")))
        simulation.expectResponse(400, null, submission(body("j-000007", "owner" to null)))
        simulation.clock.runUntil(45_000)
        assertEquals(201, simulation.response(simulation.leader, submission(body("j-000007"))).status)
    }

    @Test
    fun `cancelling a done job returns done, a cancelled job stays cancelled, and an unknown job gets 404`() {
        val simulation = electedSimulation(7)
        simulation.expectResponse(200, "done", UserRequest.Cancel(simulation.completeJob()))
        assertEquals(201, simulation.response(simulation.leader, submission(body("j-000008"))).status)
        simulation.expectResponse(200, "aborted", UserRequest.Cancel("j-000008"))
        simulation.expectResponse(200, "aborted", UserRequest.Cancel("j-000008"))
        for (repetition in malformed("j-000008") + body("j-000008")) {
            simulation.expectResponse(200, "aborted", submission(repetition))
        }
        simulation.expectResponse(404, null, UserRequest.Cancel("j-000009"))
        simulation.expectResponse(404, null, UserRequest.Query("j-000009"))
    }

    @Test
    fun `a forwarded request of an unknown kind changes nothing`() {
        val simulation = electedSimulation(8)
        assertEquals(201, simulation.response(simulation.leader, submission(body("j-000010"))).status)
        simulation.leader.receiveFrame(0, Frames.encode(PeerMessage.ForwardedRequest(1, 9, "j-000010", ByteArray(0))))
        simulation.clock.runUntil(simulation.clock.timeMs + 1000)
        assertTrue(state(simulation.response(simulation.leader, UserRequest.Query("j-000010"))) != "aborted")
    }

    @Test
    fun `a job that an earlier version accepted without an image is loaded by a new leader`() {
        val spec = Pack.decodeMap(body("j-000011", "shape" to "service")).map - "bundle" - "pullGb" - "expectedS"
        val jobs = JobTable(CoreContext(1), Interners(), StateLimits(80.0, 20.0, 8192, 12))
        jobs.loadJob(KeyValue("job/j-000011", mapOf("s" to "open", "at" to 1L, "j" to spec), 1))
        assertEquals(JobState.OPEN, jobs.find("j-000011")?.state)
        val cancelled = mapOf("s" to "cancelled", "n" to 2L, "j" to spec + ("nameId" to "j-000012"))
        jobs.loadJob(KeyValue("job/j-000012", cancelled, 1))
        assertEquals("j-000012", jobs.findForMarker("j-000012")?.spec?.id)
    }
}
