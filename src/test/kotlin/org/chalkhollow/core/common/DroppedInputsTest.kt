package org.chalkhollow.core.common

import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.fleet.StaticMachines
import org.chalkhollow.core.leadership.CandidateSnapshot
import org.chalkhollow.core.leadership.Leadership
import org.chalkhollow.core.leadership.LeadershipRecord
import org.chalkhollow.core.operations.ControllerGauges
import org.chalkhollow.core.storage.StateWriter
import org.chalkhollow.core.storage.Write
import org.chalkhollow.core.storage.WriteProducer
import org.chalkhollow.model.Change
import org.chalkhollow.model.KeyValue
import org.chalkhollow.model.KeyValuePage
import org.chalkhollow.model.ListedPage
import org.chalkhollow.peer.Frames
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.runtime.Metrics
import org.chalkhollow.runtime.ResponseDecoder
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.StateLimits
import org.chalkhollow.simulation.SimulatedController
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.electedSimulation
import org.chalkhollow.wire.MalformedMessageException
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Inputs that are late, repeated or of another incarnation have no effect and are counted. */
class DroppedInputsTest {
    private class IgnoredEvents : Leadership.Events {
        override fun requestSnapshot(revision: Long) = Unit

        override fun snapshotComplete(revision: Long) = true

        override fun discardSnapshot() = Unit

        override fun onElected(fencingToken: Long, revision: Long, writes: Long, snapshotRevision: Long) = Unit

        override fun onSteppedDown() = Unit
    }

    private val context = CoreContext(1).also { it.now = Now(0, 0) }
    private val options = OperatorSettings()
    private val limits = StateLimits(80.0, 40.0, 8192, 12)

    private fun leadership(peers: Int) =
        Leadership(context, "m", List(peers) { "p$it" }, 77, options, 0, 0, IgnoredEvents())

    private fun assertDropped(expected: Map<DroppedInput, Long>) =
        assertEquals(expected, context.dropped.counts().filterValues { it > 0 })

    private val Simulation.leader: SimulatedController get() = nodes.single { it.leads }

    /** Counts of the inputs that [node] drops while [run] runs. */
    private fun dropsOf(node: SimulatedController, run: () -> Unit): Map<DroppedInput, Long> {
        val before = node.dropped
        run()
        return node.dropped.mapValues { (input, count) -> count - (before[input] ?: 0) }.filterValues { it > 0 }
    }

    @Test
    fun `heartbeats that are late, repeated or of an ended epoch are counted`() {
        val simulation = electedSimulation(1)
        simulation.users.submit { it.copy(tasks = 1, types = null, zone = null, expectedS = 300.0) }
        simulation.clock.runUntil(40_000)
        val worker = simulation.cloud.workers.single { it.activeTasks().isNotEmpty() }
        val sendOldHeartbeat = worker.captureHeartbeat()
        simulation.clock.runUntil(50_000)
        assertEquals(
            mapOf(DroppedInput.HEARTBEAT_LATE to 1L),
            dropsOf(simulation.leader) { sendOldHeartbeat(simulation.leader) },
        )
        assertEquals(
            mapOf(DroppedInput.HEARTBEAT_REPEATED to 1L),
            dropsOf(simulation.leader) { worker.repeatLastHeartbeat() },
        )
        worker.reboot()
        simulation.clock.runUntil(65_000)
        assertEquals(
            mapOf(DroppedInput.HEARTBEAT_OTHER_INCARNATION to 1L),
            dropsOf(simulation.leader) {
                sendOldHeartbeat(simulation.leader)
            },
        )
    }

    @Test
    fun `the reply to a command with a heartbeat that is older than the last one is counted`() {
        val simulation = electedSimulation(2)
        simulation.network.holdMs = 1400L..1450L
        simulation.network.holdProbability = 1.0
        val drops =
            dropsOf(simulation.leader) {
                repeat(20) { simulation.users.submit { it.copy(types = null, zone = null, expectedS = 1.0) } }
                simulation.clock.runUntil(60_000)
            }
        assertTrue((drops[DroppedInput.HEARTBEAT_LATE] ?: 0) > 0, "$drops")
    }

    @Test
    fun `a response to a forwarded request that is repeated or of another incarnation is counted`() {
        val simulation = electedSimulation(3)
        val follower = simulation.nodes.first { !it.leads }
        val leader = simulation.indexAt(follower.label, simulation.leader.label)
        val messages = ArrayList<PeerMessage>()
        simulation.onFrame = { frame -> Frames.decode(frame)?.let(messages::add) }
        follower.receiveRequest(UserRequest.Query("j-000001")) {}
        simulation.clock.runUntil(16_000)
        val forwarded = messages.filterIsInstance<PeerMessage.ForwardedRequest>().single { it.jobId == "j-000001" }
        val response = messages.filterIsInstance<PeerMessage.ForwardedResponse>().single { it.seq == forwarded.seq }
        val repeated = Frames.encode(response)
        assertEquals(
            mapOf(DroppedInput.MESSAGE_LATE to 1L),
            dropsOf(follower) { follower.receiveFrame(leader, repeated) },
        )
        val ofOtherIncarnation =
            Frames.encode(PeerMessage.ForwardedResponse(response.seq - 1_000_000, 200, ByteArray(0), 0))
        assertEquals(
            mapOf(DroppedInput.MESSAGE_OTHER_INCARNATION to 1L),
            dropsOf(follower) { follower.receiveFrame(leader, ofOtherIncarnation) },
        )
    }

    @Test
    fun `votes, follower leases and releases that are repeated or late are counted`() {
        val leadership = leadership(4)
        val record = LeadershipRecord("p0", 1, 5, 9).value()
        var request: PeerMessage.VoteRequest? = null
        for (elapsedMs in 0L..5000L step 100) {
            context.now = Now(elapsedMs, elapsedMs)
            leadership.tick()
            for (effect in context.drain()) {
                if (effect is Effect.State) {
                    context.reply(
                        Input.State(effect.ticket, StateReply.Found(KeyValue(LeadershipRecord.KEY, record, 4))),
                    )
                }
                if (effect is Effect.Send) request = effect.message as? PeerMessage.VoteRequest ?: request
            }
        }
        val voteRequest = checkNotNull(request) { "no votes were requested" }
        val vote = PeerMessage.VoteResponse(voteRequest.fencingToken, voteRequest.seq, granted = true)
        leadership.onPeer(0, vote)
        assertDropped(emptyMap())
        leadership.onPeer(0, vote)
        assertDropped(mapOf(DroppedInput.MESSAGE_REPEATED to 1L))
        leadership.onPeer(1, vote.copy(seq = voteRequest.seq - 1))
        leadership.onPeer(1, vote.copy(fencingToken = voteRequest.fencingToken + 1))
        leadership.onPeer(0, PeerMessage.FollowerLeaseResponse(5, 1, granted = true, stateServed = true))
        leadership.onPeer(2, PeerMessage.LeadershipRelease(5))
        assertDropped(mapOf(DroppedInput.MESSAGE_REPEATED to 1L, DroppedInput.MESSAGE_LATE to 4L))
        leadership.onPeer(1, vote.copy(seq = voteRequest.seq + 1))
        leadership.onPeer(1, vote.copy(seq = voteRequest.seq - 1_000_000))
        assertEquals(2, context.dropped.counts()[DroppedInput.MESSAGE_OTHER_INCARNATION])
        assertEquals(Leadership.Role.FOLLOWER, leadership.role)
    }

    @Test
    fun `a second reply to a call is counted`() {
        var replies = 0
        context.callStateService(StateOp.Read("x")) { replies++ }
        val call = context.drain().filterIsInstance<Effect.State>().single()
        repeat(3) { context.reply(Input.State(call.ticket, StateReply.Missing)) }
        context.reply(Input.Cloud(77, CloudReply.Deleted))
        context.reply(Input.WorkerReply(78, CommandReply.NotSent))
        assertEquals(1, replies)
        assertDropped(mapOf(DroppedInput.REPLY_REPEATED to 4L))
    }

    @Test
    fun `a reply to a write of an ended term is counted`() {
        var durable = false
        val write = Write(listOf(Change("x", mapOf("v" to 1))), onRejected = {}) { durable = true }
        val writer = StateWriter(context, limits, options, leadership(0), listOf(WriteProducer { write }))
        context.now = Now(1000, 1000)
        writer.start(LeadershipRecord("m", 77, 1, 0), 1)
        context.now = Now(2000, 2000)
        writer.flush()
        val call = context.drain().filterIsInstance<Effect.State>().single()
        writer.stop()
        context.reply(Input.State(call.ticket, StateReply.Committed(2)))
        assertEquals(false, durable)
        assertDropped(mapOf(DroppedInput.REPLY_LATE to 1L))
    }

    @Test
    fun `a page of a snapshot that was replaced by a newer one is counted`() {
        val snapshot = CandidateSnapshot(context, listOf("x/")) {}
        snapshot.begin(7)
        val call = context.drain().filterIsInstance<Effect.State>().single()
        snapshot.begin(8)
        context.reply(Input.State(call.ticket, StateReply.Page(KeyValuePage(emptyList(), false))))
        assertEquals(false, snapshot.isComplete(7))
        assertDropped(mapOf(DroppedInput.REPLY_LATE to 1L))
    }

    @Test
    fun `a reply of the cloud to a call of an earlier term is counted`() {
        val fleet =
            Fleet(context, Interners(), Simulation(1).settings, options, "a", StaticMachines(context, limits))
        fleet.start(1)
        context.now = Now(1000, 1000)
        fleet.tick(leading = true, unplaced = emptyList(), mayScaleOut = false)
        val catalog = context.drain().filterIsInstance<Effect.Cloud>().single()
        context.reply(Input.Cloud(catalog.ticket, CloudReply.Catalog(emptyList())))
        context.now = Now(2000, 2000)
        fleet.tick(leading = true, unplaced = emptyList(), mayScaleOut = false)
        val list = context.drain().filterIsInstance<Effect.Cloud>().single { it.op is CloudOp.Machines }
        fleet.start(2)
        context.reply(Input.Cloud(list.ticket, CloudReply.Machines(ListedPage(emptyList(), false))))
        assertEquals(false, fleet.hasHeartbeatFromAllListed())
        assertDropped(mapOf(DroppedInput.REPLY_LATE to 1L))
    }

    @Test
    fun `a malformed reply is treated as no reply and is counted`() {
        val metrics = Metrics()
        val decoder = ResponseDecoder { metrics.countMalformedReply() }
        assertEquals(1, decoder.decode(ifMalformed = 0) { 1 })
        assertEquals(0, decoder.decode(ifMalformed = 0) { throw MalformedMessageException("junk") })
        assertTrue("chalkhollow_replies_malformed_total 1.0" in lines(metrics, emptyMap()))
    }

    @Test
    fun `the metrics contain the count of every kind of dropped input`() {
        val counts = DroppedInput.entries.associateWith { it.ordinal + 1L }
        val lines = lines(Metrics(), counts)
        for ((input, count) in counts) assertTrue("chalkhollow_${input.metric}_total $count" in lines, input.metric)
    }

    private fun lines(metrics: Metrics, dropped: Map<DroppedInput, Long>): List<String> =
        metrics.text(ControllerGauges(false, 0, 0, 0, 0, dropped = dropped)).lines()
}
