package org.chalkhollow.core

import org.chalkhollow.core.leadership.CandidateSnapshot
import org.chalkhollow.core.operations.ControllerVersions
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.attempts.IndexRanges
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.Input
import org.chalkhollow.core.leadership.Leadership
import org.chalkhollow.core.leadership.LeadershipRecord
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.common.StateOp
import org.chalkhollow.core.common.StateReply
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.PlatformSettings
import org.chalkhollow.model.KeyValue
import org.chalkhollow.model.KeyValuePage
import org.chalkhollow.model.WorkerHeartbeat
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class PartsTest {
    @Test
    fun `index ranges are written and read back`() {
        for (set in listOf(intArrayOf(0), intArrayOf(0, 1, 2, 7), intArrayOf(3, 5, 6, 99_999), IntArray(1000) { it * 2 })) {
            assertEquals(set.toList(), IndexRanges.decode(IndexRanges.encode(set)))
        }
        assertEquals("0-3,7", IndexRanges.encode(intArrayOf(0, 1, 2, 3, 7)))
    }

    /** A leadership alone, with peers played by hand. */
    private class Bench(peers: Int, begunAt: Long = 0) : Leadership.Events {
        val context = CoreContext(3)
        val options = OperatorSettings(leaderLeaseMs = 2000, leaderRenewMs = 450, followerLeaseMs = 1800)
        var elected = 0L
        var deposed = false
        val leadership = Leadership(context, "m", List(peers) { "p$it" }, 77, options, 0, begunAt, this)

        /** The stamp of the record for which all was read, as far as the test lets it be. */
        var preparedFor: Long? = null
        var reads = true

        override fun prepare(revision: Long) {
            if (reads) preparedFor = revision
        }

        override fun prepared(revision: Long) = preparedFor == revision

        override fun unprepare() {
            preparedFor = null
        }

        override fun onElected(fencingToken: Long, revision: Long, writes: Long, basis: Long) {
            assertEquals(preparedFor, basis)
            elected = fencingToken
        }

        override fun onDeposed() {
            deposed = true
        }

        fun at(ms: Long, run: Leadership.() -> Unit = { tick() }): List<Effect> {
            context.now = Now(ms, ms)
            leadership.run()
            return context.drain()
        }

        fun answer(e: Effect.State, reply: StateReply) {
            context.reply(Input.State(e.ticket, reply))
        }

        fun record(owner: String, life: Long, revision: Long) =
            StateReply.Found(KeyValue(LeadershipRecord.KEY, LeadershipRecord(owner, life, 5, 9).value().mapValues { (_, v) -> v }, revision))
    }

    private fun Bench.watch(from: Long, to: Long, revision: Long): List<Effect> {
        val all = ArrayList<Effect>()
        var t = from
        while (t <= to) {
            val out = at(t)
            for (e in out) if (e is Effect.State && e.op is StateOp.Read) answer(e, record("p0", 1, revision))
            all.addAll(out + context.drain())
            t += 100
        }
        return all
    }

    @Test
    fun `nobody stands without votes while a leader may hold promises`() {
        val b = Bench(2)
        val out = b.watch(0, 20_000, revision = 4)
        assertTrue(out.any { it is Effect.Send && it.message is PeerMessage.VoteRequest })
        assertFalse(out.any { it is Effect.State && it.op is StateOp.Commit }, "stood without a vote")
        val late = b.watch(20_100, b.options.outageLimitMs + 5_000, revision = 4)
        assertTrue(late.any { it is Effect.State && it.op is StateOp.Commit }, "never stands, even when no leader can be left")
    }

    @Test
    fun `no vote is given against a promise, nor by a process too young to know its promises`() {
        val b = Bench(2)
        fun vote(t: Long) = b.at(t) { onPeer(1, PeerMessage.VoteRequest(6, 4, t)) }
            .filterIsInstance<Effect.Send>().map { it.message }.filterIsInstance<PeerMessage.VoteResponse>().single().granted
        assertFalse(vote(500))
        assertTrue(vote(3_000))
        val c = Bench(2)
        c.watch(0, 3_000, revision = 4)
        c.at(5_000) { onPeer(0, PeerMessage.FollowerLeaseRequest(5, 1, true)) }
        val granted = c.at(5_500) { onPeer(1, PeerMessage.VoteRequest(6, 4, 1)) }
            .filterIsInstance<Effect.Send>().map { it.message }.filterIsInstance<PeerMessage.VoteResponse>().single().granted
        assertFalse(granted)
    }

    // The seconds that a process takes until it listens count as well: what it promised before ended before it began.
    @Test
    fun `a process that began long before it listens votes at once, and not before its earlier promises have run out`() {
        fun vote(begunAt: Long): Boolean {
            val b = Bench(2, begunAt)
            return b.at(10) { onPeer(1, PeerMessage.VoteRequest(6, 4, 1)) }
                .filterIsInstance<Effect.Send>().map { it.message }.filterIsInstance<PeerMessage.VoteResponse>().single().granted
        }
        assertTrue(vote(-1810))
        assertFalse(vote(-1790))
    }

    @Test
    fun `a voter makes no promise to the older generation`() {
        val b = Bench(2)
        b.at(4_000) { onPeer(1, PeerMessage.VoteRequest(6, 4, 1)) }
        val promise = b.at(4_100) { onPeer(0, PeerMessage.FollowerLeaseRequest(5, 9, true)) }
            .filterIsInstance<Effect.Send>().map { it.message }.filterIsInstance<PeerMessage.FollowerLeaseResponse>().single()
        assertFalse(promise.granted)
    }

    @Test
    fun `a leader is entitled by a write for its lease, and beyond it only by promises`() {
        val b = Bench(2)
        val read = b.at(0).filterIsInstance<Effect.State>().single()
        b.answer(read, StateReply.Missing)
        val commit = b.context.drain().filterIsInstance<Effect.State>().single()
        b.answer(commit, StateReply.Committed(2))
        val asks = b.context.drain().filterIsInstance<Effect.Send>().map { it.message }.filterIsInstance<PeerMessage.FollowerLeaseRequest>()
        assertEquals(1L, b.elected)
        b.at(1_900)
        assertTrue(b.leadership.entitled())
        b.at(2_100)
        assertFalse(b.leadership.entitled())
        // A promise counts from when it was asked for, not from when it came.
        b.at(2_100) { onPeer(0, PeerMessage.FollowerLeaseResponse(1, asks.first().seq, true, false)) }
        assertFalse(b.leadership.entitled())
        val again = b.at(2_500).filterIsInstance<Effect.Send>().map { it.message }.filterIsInstance<PeerMessage.FollowerLeaseRequest>().first()
        b.at(2_600) { onPeer(0, PeerMessage.FollowerLeaseResponse(1, again.seq, true, false)) }
        assertTrue(b.leadership.entitled())
        b.at(2_500 + b.options.followerLeaseMs)
        assertFalse(b.leadership.entitled())
    }

    private fun Bench.promised(t: Long, fencingToken: Long) = at(t) { onPeer(0, PeerMessage.FollowerLeaseRequest(fencingToken, t, true)) }
        .filterIsInstance<Effect.Send>().map { it.message }.filterIsInstance<PeerMessage.FollowerLeaseResponse>().single().granted

    // A process that is back in no time may have voted just before; its vote may be used until promiseMs after it was
    // asked for.
    @Test
    fun `a restarted controller promises nothing until it has read a record that its forgotten votes would show in`() {
        val b = Bench(2)
        b.watch(0, 1_500, revision = 4)
        assertFalse(b.promised(1_600, 5))
        b.watch(1_700, 3_000, revision = 4)
        assertTrue(b.promised(3_100, 5))
    }

    @Test
    fun `a take-over that is confirmed after its votes have run out is not acted on`() {
        fun elect(b: Bench): Effect.State {
            b.watch(0, 4_000, revision = 4)
            val ask = b.watch(4_100, 4_600, revision = 4).filterIsInstance<Effect.Send>().map { it.message }.filterIsInstance<PeerMessage.VoteRequest>().last()
            return b.at(4_700) { onPeer(0, PeerMessage.VoteResponse(6, ask.seq, true)) }.filterIsInstance<Effect.State>().single { it.op is StateOp.Commit }
        }
        val late = Bench(2)
        val commit = elect(late)
        late.at(4_700 + late.options.followerLeaseMs) {}
        late.answer(commit, StateReply.Committed(9))
        assertEquals(0L, late.elected)
        val quick = Bench(2)
        val again = elect(quick)
        quick.at(4_800) {}
        quick.answer(again, StateReply.Committed(9))
        assertEquals(6L, quick.elected)
    }

    @Test
    fun `a record of an earlier life that was never acted on gives no right to lead`() {
        val b = Bench(2)
        val read = b.at(0).filterIsInstance<Effect.State>().single()
        b.answer(read, StateReply.Found(KeyValue(LeadershipRecord.KEY, LeadershipRecord("m", 76, 5, 0).value(), 12)))
        assertFalse(b.context.drain().any { it is Effect.State && it.op is StateOp.Commit })
    }

    @Test
    fun `a leader makes way when its peers are served after it was refused, not when an outage begins`() {
        fun leader(): Bench {
            val b = Bench(2)
            b.answer(b.at(0).filterIsInstance<Effect.State>().single(), StateReply.Missing)
            b.answer(b.context.drain().filterIsInstance<Effect.State>().single(), StateReply.Committed(2))
            return b
        }
        fun Bench.days(from: Long, to: Long, servedUntil: Long) {
            for (t in from..to step 100) {
                val sent = at(t).filterIsInstance<Effect.Send>()
                val asks = sent.mapNotNull { it.message as? PeerMessage.FollowerLeaseRequest }
                val served = t - servedUntil < options.leaderRenewMs * 2 + 200
                for (ask in asks.take(1)) {
                    at(t) { onPeer(0, PeerMessage.FollowerLeaseResponse(1, ask.seq, true, served)) }
                }
            }
        }
        val outage = leader()
        outage.days(100, 3000, servedUntil = 9000)
        outage.leadership.writeFailed()
        outage.days(3000, 20_000, servedUntil = 3000)
        assertFalse(outage.deposed, "stepped down in an outage")
        assertTrue(outage.leadership.entitled())
        val alone = leader()
        alone.days(100, 3000, servedUntil = 90_000)
        alone.leadership.writeFailed()
        alone.days(3000, 6000, servedUntil = 90_000)
        assertTrue(alone.deposed, "holds on although its peers are served")
    }

    // Between giving up and a peer's take-over nobody renews the workers' leases; an outage that began there cost all
    // of them.
    @Test
    fun `a leader that is refused alone gives up once a peer could follow at once, or after a while`() {
        fun gaveUpAt(prepared: Boolean): Long {
            val b = Bench(2)
            b.answer(b.at(0).filterIsInstance<Effect.State>().single(), StateReply.Missing)
            b.answer(b.context.drain().filterIsInstance<Effect.State>().single(), StateReply.Committed(2))
            b.leadership.writeFailed()
            for (t in 100L..9000L step 100) {
                val sent = b.at(t).filterIsInstance<Effect.Send>()
                val asks = sent.mapNotNull { it.message as? PeerMessage.FollowerLeaseRequest }
                if (b.deposed) return t
                for (ask in asks.take(1)) b.at(t) { onPeer(0, PeerMessage.FollowerLeaseResponse(1, ask.seq, true, true, prepared = prepared)) }
            }
            return Long.MAX_VALUE
        }
        val ready = gaveUpAt(prepared = true)
        assertTrue(gaveUpAt(prepared = false) in ready + 800..ready + 1000)
    }

    @Test
    fun `a leader that gave up is followed at once, its lease notwithstanding`() {
        fun asksForVotes(released: Boolean): Boolean {
            val b = Bench(2)
            val late = ArrayList<Effect>()
            for (t in 0L..5_000L step 100) {
                if (t == 4_000L) b.at(t) { onPeer(0, PeerMessage.FollowerLeaseRequest(5, 1, true)) }
                if (t == 4_100L && released) b.at(t) { onPeer(0, PeerMessage.LeadershipRelease(5)) }
                val out = b.at(t)
                for (e in out) if (e is Effect.State && e.op is StateOp.Read) b.answer(e, b.record("p0", 1, minOf(t, 4_000L) + 1))
                if (t > 4_100L) late.addAll(out + b.context.drain())
            }
            return late.any { it is Effect.Send && it.message is PeerMessage.VoteRequest }
        }
        assertTrue(asksForVotes(released = true))
        assertFalse(asksForVotes(released = false))
    }

    /** A late answer must not be a leader's when this is none any more. */
    @Test
    fun `what a leader decided before it stood still is not said afterwards`() {
        val settings = PlatformSettings.parse(
            """{"label":"a","location":"z","client_listen":"127.0.0.1:1","mesh_addr":"127.0.0.1:2",
              "seeds":[{"label":"b","location":"z","endpoint":"127.0.0.1:3"},{"label":"c","location":"z","endpoint":"127.0.0.1:4"}],
              "external":{"cloud":"127.0.0.1:5","state":"127.0.0.1:6"},
              "facts":{"teams":[{"name":"t","cpus":8,"cpus_max":16}],"workers":{"report_s":4,"lease_s":22,"cancel_s":40},
              "state":{"rps":80,"write_rps":20,"value_kb":8,"txn_ops":12},"cloud":{"rps":3,"list_lag_s":5}}}""",
            "test",
        )
        val c = Controller(settings, OperatorSettings(), 1, Now(0, 0))
        val pending = ArrayDeque(c.step(Now(0, 0), Input.Tick))
        var revision = 1L
        while (!c.takesRequests(Now(0, 0)) || pending.isNotEmpty()) {
            val e = pending.removeFirstOrNull() ?: break
            if (e !is Effect.State) continue
            val reply = when (e.op) {
                is StateOp.Read -> StateReply.Missing
                is StateOp.List -> StateReply.Page(KeyValuePage(emptyList(), false))
                is StateOp.Commit -> StateReply.Committed(++revision)
            }
            pending.addAll(c.step(Now(10, 10), Input.State(e.ticket, reply)))
        }
        assertTrue(c.leads(Now(20, 20)))
        val heartbeat = WorkerHeartbeat("n-1", "127.0.0.1:9", "x", "z", false, 1, 1, 1, null, emptyList())
        val answer = c.step(Now(20, 20), Input.Heartbeat(7, heartbeat)).filterIsInstance<Effect.Response>().single()
        assertEquals(200, answer.status)
        assertEquals(200, (c.whenLate(Now(300, 300), answer) as Effect.Response).status)
        assertEquals(503, (c.whenLate(Now(30_000, 30_000), answer) as Effect.Response).status)
        assertEquals(null, c.whenLate(Now(30_000, 30_000), Effect.WorkerCommand(1, "127.0.0.1:9", 1, 1, emptyList())))
    }

    // A leader that had yet to read what was cancelled kept it running for as long as an outage lasted that began just
    // then.
    @Test
    fun `nobody stands before having read all that was written, neither with votes nor without`() {
        for (reads in listOf(false, true)) {
            val b = Bench(2).also { it.reads = reads }
            val watched = b.watch(0, 5_000, revision = 4)
            assertEquals(reads, watched.any { it is Effect.Send && it.message is PeerMessage.VoteRequest })
            val again = Bench(2).also { it.reads = reads }
            again.answer(again.at(0).filterIsInstance<Effect.State>().single(), again.record("m", 76, 12))
            assertEquals(reads, again.context.drain().any { it is Effect.State && it.op is StateOp.Commit })
        }
    }

    @Test
    fun `what was read for a record that has changed since counts for nothing`() {
        val context = CoreContext(1).also { it.now = Now(0, 0) }
        var completed = 0
        val snapshot = CandidateSnapshot(context, listOf("x/", "y/")) { completed++ }
        fun answer(vararg keys: String, more: Boolean = false) {
            val e = context.drain().filterIsInstance<Effect.State>().last()
            context.reply(Input.State(e.ticket, StateReply.Page(KeyValuePage(keys.map { KeyValue(it, "v", 1) }, more))))
        }
        snapshot.begin(7)
        answer("x/1", more = true)
        snapshot.begin(8)
        answer("x/1", "x/2")
        assertFalse(snapshot.complete(8))
        answer("y/1")
        assertTrue(snapshot.complete(8))
        assertFalse(snapshot.complete(7))
        assertEquals(listOf("x/1", "x/2", "y/1"), snapshot.take(8).map { it.key })
        assertEquals(1, completed)
    }

    @Test
    fun `an upgrade is over once every peer has told a version as new as ours`() {
        val versions = ControllerVersions("a", listOf("b", "c"))
        assertFalse(versions.allNew)
        versions.greeted(0, PeerMessage.Hello("b", 1, PeerMessage.VERSION))
        versions.greeted(1, PeerMessage.Hello("c", 1))
        assertFalse(versions.allNew)
        assertEquals(mapOf("a" to PeerMessage.VERSION, "b" to PeerMessage.VERSION, "c" to 0), versions.all)
        versions.greeted(1, PeerMessage.Hello("c", 2, PeerMessage.VERSION + 1))
        assertTrue(versions.allNew)
        versions.greeted(0, PeerMessage.Hello("b", 3))
        assertFalse(versions.allNew)
    }

    @Test
    fun `a controller that led before its restart takes over at once with a new generation`() {
        val b = Bench(2)
        val read = b.at(0).filterIsInstance<Effect.State>().single()
        b.answer(read, b.record("m", 76, 12))
        val commit = b.context.drain().filterIsInstance<Effect.State>().single().op as StateOp.Commit
        assertEquals(12L, commit.conditions.single().revision)
        assertEquals(6L, commit.changes.single().value?.get("generation"))
    }
}
