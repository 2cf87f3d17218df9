package org.chalkhollow.core.requests

import org.chalkhollow.core.Controller
import org.chalkhollow.core.common.CloudOp
import org.chalkhollow.core.common.CloudReply
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.Input
import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.common.StateOp
import org.chalkhollow.core.common.StateReply
import org.chalkhollow.core.common.UserRequest
import org.chalkhollow.peer.Frames
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.model.JobState
import org.chalkhollow.simulation.FakeCloud
import org.chalkhollow.simulation.SimulatedController
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.StateLimits
import org.chalkhollow.wire.Fields
import org.chalkhollow.wire.Pack
import org.chalkhollow.model.KeyValue
import org.chalkhollow.model.KeyValuePage
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.SplittableRandom

/** What users are told of good and bad requests, from the leader and by way of a follower. */
class RequestHandlerTest {
    private fun body(id: String, vararg changes: Pair<String, Any?>): ByteArray = Pack.encode(
        mapOf(
            "nameId" to id, "workload" to "w", "owner" to "red", "shape" to "batch", "urgency" to "high", "pieces" to 2,
            "vcpus" to 1.0, "cards" to 0.0, "memoryGb" to 1.0, "bundle" to "i", "pullGb" to 1.0,
            "together" to false, "spread" to false, "standby" to false, "expectedS" to 5.0, "snapshotS" to 0.0, "flushS" to 0.0,
        ) + changes,
    )

    /** Malformed in different ways, while the id can be read. */
    private fun malformed(id: String): List<ByteArray> = listOf(
        body(id, "pieces" to 0), body(id, "bundle" to null), body(id, "vcpus" to "many"),
        body(id).let { it.copyOf(it.size - 5) }, body(id) + 1, body(id).copyOf(20),
    )

    private fun submission(body: ByteArray): UserRequest = checkNotNull(UserRequest.ofSubmission(body)) { "no id" }

    /** Three controllers after their first election. */
    private fun simulation(seed: Long, before: (Simulation) -> Unit = {}) = Simulation(seed).also { r ->
        r.network.loss = 0.0
        r.network.late = 0.0
        before(r)
        r.begin(0, 1)
        r.clock.runUntil(15_000)
    }

    private val Simulation.leader: SimulatedController get() = nodes.single { it.leads }

    /** The leader, and a follower that passes on to it. */
    private val Simulation.entryPoints: List<SimulatedController> get() = listOf(leader, nodes.first { !it.leads })

    private fun Simulation.asks(node: SimulatedController, ask: UserRequest, waitMs: Long = 1900): Effect.Response {
        var answer: Effect.Response? = null
        node.user(ask) { answer = it }
        clock.runUntil(clock.time + waitMs)
        return checkNotNull(answer) { "no answer" }
    }

    private fun state(a: Effect.Response): String =
        Fields.of(Pack.decode(checkNotNull(a.body)), "answer").text("status")

    private fun Simulation.expectAnswer(status: Int, state: String?, ask: UserRequest) {
        for (node in entryPoints) {
            val a = asks(node, ask)
            assertEquals(status to state, a.status to a.body?.let { state(a) }, "${ask.jobId} at ${node.label}")
            if (status == 503) assertTrue(a.retryAfterS > 0, "503 without Retry-After")
        }
    }

    /** A job that the workers know, carried out. */
    private fun Simulation.done(): String {
        val id = users.submit { it.copy(tasks = 1, types = null, zone = null, expectedS = 1.0) }
        clock.runUntil(clock.time + 40_000)
        return id
    }

    @Test
    fun `a malformed submission of an unknown job gets 400 from the leader and through a follower, and is not accepted`() {
        val r = simulation(1)
        for (bad in malformed("j-000001")) r.expectAnswer(400, null, submission(bad))
        r.expectAnswer(404, null, UserRequest.Query("j-000001"))
    }

    @Test
    fun `a submission without an id that can be read is refused at once`() {
        val all = body("j-000001")
        val none = listOf(
            byteArrayOf(), byteArrayOf(1), Pack.encode(listOf("nameId", "j-000001")), body("412"), body("j-"), body("j-1", "nameId" to 7),
            body("j-1", "nameId" to null), all.copyOf(8), byteArrayOf(0xc1.toByte()),
        )
        for (bad in none) assertNull(UserRequest.ofSubmission(bad))
        assertTrue(UserRequest.ofSubmission(all) is UserRequest.Submit)
        for (bad in malformed("j-000001")) assertEquals("j-000001", (UserRequest.ofSubmission(bad) as UserRequest.Invalid).jobId)
    }

    @Test
    fun `bytes of any kind are a submission or none, and never an error`() {
        val random = SplittableRandom(3)
        val good = body("j-000001")
        var unreadable = 0
        repeat(20_000) {
            val bytes = good.copyOf(random.nextInt(good.size + 1))
            repeat(random.nextInt(4)) { if (bytes.isNotEmpty()) bytes[random.nextInt(bytes.size)] = random.nextInt(256).toByte() }
            if (UserRequest.ofSubmission(bytes) is UserRequest.Invalid) unreadable++
        }
        assertTrue(unreadable > 5000, "only $unreadable named a job")
    }

    @Test
    fun `a job whose record the state service refuses is answered 503 and not accepted, and others are`() {
        val r = simulation(4)
        r.state.lowered = StateLimits(80.0, 20.0, 400, 12)
        val large = body("j-000004", "flavours" to List(12) { "type-$it-" + "x".repeat(40) } + "small")
        assertEquals(503, r.asks(r.leader, submission(large)).status)
        assertEquals(201, r.asks(r.leader, submission(body("j-000005"))).status)
        assertEquals(404, r.asks(r.leader, UserRequest.Query("j-000004")).status)
        assertTrue(r.state.rejections > 0)
        r.state.lowered = null
        assertEquals(201, r.asks(r.leader, submission(large)).status)
        r.state.lowered = StateLimits(80.0, 20.0, 400, 12)
        val gone = r.asks(r.leader, UserRequest.Cancel("j-000004"))
        assertEquals(200 to "aborted", gone.status to state(gone))
    }

    @Test
    fun `tasks start although the state service refuses large markers, and hints it refuses are dropped`() {
        val r = simulation(5)
        r.state.lowered = StateLimits(80.0, 20.0, 600, 3)
        repeat(6) { r.users.submit { it.copy(tasks = 12, types = null, zone = null, together = false, spread = false, dueS = null, expectedS = 1.0) } }
        r.clock.runUntil(r.clock.time + 150_000)
        assertTrue(r.state.rejections > 0)
        assertEquals(emptyList<String>(), r.rules.violations)
        assertEquals(6, r.rules.acceptedCount)
        assertTrue(r.rules.completions >= 72, "${r.rules.completions} tasks were completed: ${r.rules.pending()}")
    }

    @Test
    fun `a repetition of an accepted job gets its state, whether it differs, can never run or is malformed`() {
        val r = simulation(2)
        val id = "j-000002"
        assertEquals(201, r.asks(r.leader, submission(body(id))).status)
        val repetitions = malformed(id) + listOf(body(id), body(id, "pieces" to 9), body(id, "owner" to "nobody"), body(id, "vcpus" to 1000.0))
        for (again in repetitions) for (node in r.entryPoints) {
            val a = r.asks(node, submission(again))
            assertEquals(200, a.status)
            assertTrue(state(a) in setOf("queued", "running"), state(a))
        }
    }

    @Test
    fun `a malformed repetition is looked up in what a new leader has read`() {
        val r = simulation(3)
        val id = r.done()
        r.leader.let {
            it.crash()
            r.clock.after(3000) { it.start() }
        }
        r.clock.runUntil(r.clock.time + 30_000)
        for (bad in malformed(id)) r.expectAnswer(200, "done", submission(bad))
    }

    @Test
    fun `while a job is being accepted, a malformed submission of it is neither refused nor held back`() {
        val r = simulation(4)
        r.state.outage(10_000)
        var accepted: Effect.Response? = null
        r.leader.user(submission(body("j-000004"))) { accepted = it }
        r.expectAnswer(503, null, submission(malformed("j-000004").first()))
        r.expectAnswer(400, null, submission(malformed("j-000005").first()))
        assertEquals(503, accepted?.status)
        r.clock.runUntil(r.clock.time + 20_000)
        r.expectAnswer(200, "queued", submission(malformed("j-000004").first()))
    }

    @Test
    fun `what can never run gets 422, also while nothing can be written`() {
        val r = simulation(5)
        val never = listOf(body("j-000006", "owner" to "nobody"), body("j-000006", "vcpus" to 17.0), body("j-000006", "flavours" to listOf("huge")), body("j-000006", "site" to "north"))
        for (bad in never) r.expectAnswer(422, null, submission(bad))
        r.state.outage(25_000)
        r.clock.runUntil(r.clock.time + 3000)
        for (bad in never) r.expectAnswer(422, null, submission(bad))
        r.expectAnswer(503, null, submission(body("j-000006")))
    }

    @Test
    fun `while the machine types are unknown nothing is accepted or refused`() {
        val r = simulation(6) { r -> r.nodes.forEach { r.network.cut(it.label, FakeCloud.NAME, 30_000, false) } }
        r.expectAnswer(503, null, submission(body("j-000007")))
        r.expectAnswer(503, null, submission(body("j-000007", "owner" to "nobody")))
        r.expectAnswer(400, null, submission(body("j-000007", "owner" to null)))
        r.clock.runUntil(45_000)
        assertEquals(201, r.asks(r.leader, submission(body("j-000007"))).status)
    }

    @Test
    fun `withdrawing a job that is done tells so, a cancelled one stays cancelled, and nobody's is not found`() {
        val r = simulation(7)
        r.expectAnswer(200, "done", UserRequest.Cancel(r.done()))
        assertEquals(201, r.asks(r.leader, submission(body("j-000008"))).status)
        r.expectAnswer(200, "aborted", UserRequest.Cancel("j-000008"))
        r.expectAnswer(200, "aborted", UserRequest.Cancel("j-000008"))
        for (again in malformed("j-000008") + body("j-000008")) r.expectAnswer(200, "aborted", submission(again))
        r.expectAnswer(404, null, UserRequest.Cancel("j-000009"))
        r.expectAnswer(404, null, UserRequest.Query("j-000009"))
    }

    @Test
    fun `a request of a kind that only a newer version knows is put off and does nothing`() {
        val r = simulation(8)
        assertEquals(201, r.asks(r.leader, submission(body("j-000010"))).status)
        r.leader.peer(0, Frames.encode(PeerMessage.ForwardedRequest(1, 9, "j-000010", ByteArray(0))))
        r.clock.runUntil(r.clock.time + 1000)
        assertTrue(state(r.asks(r.leader, UserRequest.Query("j-000010"))) != "aborted")
    }

    @Test
    fun `a job that an earlier version took without an image is known to a new leader`() {
        val spec = Pack.decodeMap(body("j-000011", "shape" to "service")).map - "bundle" - "pullGb" - "expectedS"
        val jobs = JobTable(CoreContext(1), Interners(), StateLimits(80.0, 20.0, 8192, 12))
        jobs.loadJob(KeyValue("job/j-000011", mapOf("s" to "open", "at" to 1L, "j" to spec), 1))
        assertEquals(JobState.OPEN, jobs.find("j-000011")?.state)
        jobs.loadJob(KeyValue("job/j-000012", mapOf("s" to "cancelled", "n" to 2L, "j" to spec + ("nameId" to "j-000012")), 1))
        assertEquals("j-000012", jobs.findForMarker("j-000012")?.spec?.id)
    }

    // A leader that has not read everything, or is none any more, does not know what was never accepted.

    private val bad = submission(malformed("j-000001").first())
    private val asks = listOf(bad, submission(body("j-000001", "owner" to "nobody")), UserRequest.Query("j-000001"), UserRequest.Cancel("j-000001"))

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
            val reply = when (e.op) {
                is StateOp.Read -> StateReply.Missing
                is StateOp.List -> StateReply.Page(KeyValuePage(emptyList(), false))
                is StateOp.Commit -> StateReply.Committed(++revision)
            }
            pending.addAll(c.step(Now(10, 10), Input.State(e.ticket, reply)))
        }
        assertEquals(lists, c.leads(Now(20, 20)))
        return c
    }

    private fun forwarded(ask: UserRequest) = Input.Peer(
        0,
        when (ask) {
            is UserRequest.Submit -> PeerMessage.ForwardedRequest(5, 1, ask.jobId, ask.raw)
            is UserRequest.Invalid -> PeerMessage.ForwardedRequest(5, 1, ask.jobId, ask.raw)
            is UserRequest.Query -> PeerMessage.ForwardedRequest(5, 2, ask.jobId, ByteArray(0))
            is UserRequest.Cancel -> PeerMessage.ForwardedRequest(5, 3, ask.jobId, ByteArray(0))
        },
    )

    private fun Controller.answers(ask: UserRequest): List<Effect> =
        step(Now(20, 20), Input.User(7, ask)).filterIsInstance<Effect.Response>() +
            step(Now(20, 20), forwarded(ask))
                .filter { it is Effect.Send && it.message is PeerMessage.ForwardedResponse }

    private fun status(e: Effect?): Int? = (e as? Effect.Response)?.status ?: ((e as? Effect.Send)?.message as? PeerMessage.ForwardedResponse)?.status

    @Test
    fun `a candidate that has not read everything does not lead and refuses nothing`() {
        val c = elected(lists = false)
        for (ask in asks) assertEquals(listOf(503, 503), c.answers(ask).map(::status), "$ask")
    }

    @Test
    fun `a refusal that was decided before standing still is not told by a leader that is none any more`() {
        val c = elected(lists = true)
        for (ask in asks - asks[1]) {
            val answers = c.answers(ask)
            assertEquals(listOf(if (ask === bad) 400 else 404), answers.map(::status).distinct(), "$ask")
            assertEquals(answers.map(::status), answers.map { status(c.whenLate(Now(300, 300), it)) })
            assertEquals(listOf(503, 503), answers.map { status(c.whenLate(Now(30_000, 30_000), it)) })
        }
    }

    @Test
    fun `a follower without a leader refuses nothing that names a job`() {
        val c = Controller(Simulation(1).settings, OperatorSettings(), 1, Now(0, 0))
        for (ask in asks) assertEquals(listOf(503, 503), c.answers(ask).map(::status), "$ask")
    }
}
