package org.chalkhollow.core.storage

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.EncodedSize
import org.chalkhollow.core.common.Input
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.common.StateOp
import org.chalkhollow.core.common.StateReply
import org.chalkhollow.core.leadership.Leadership
import org.chalkhollow.core.leadership.LeadershipRecord
import org.chalkhollow.model.Change
import org.chalkhollow.model.KeyValue
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.StateLimits
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** What becomes of writes that the state service refuses. */
class StateWriterTest {
    /** A leader without peers, its log, and a state service played by [rule]. */
    private class Bench(limits: StateLimits = StateLimits(80.0, 40.0, 8192, 12)) : Leadership.Events {
        val context = CoreContext(3).also { it.now = Now(0, 0) }
        private val options = OperatorSettings()
        val leadership = Leadership(context, "m", emptyList(), 77, options, 0, 0, this)
        val log = StateWriter(context, limits, options, leadership, listOf(StateWriter.Source(::next)))
        val queue = ArrayDeque<Write>()
        val durable = ArrayList<String>()
        val refused = ArrayList<String>()
        val commits = ArrayList<StateOp.Commit>()
        val notes = ArrayList<Effect.LogEvent>()
        var deposed = false
        var revision = 1L
        var lead: KeyValue? = null
        var rule: (StateOp.Commit) -> StateReply = { StateReply.Committed(++revision) }

        init {
            play(0, 0)
        }

        private fun next(room: StateWriter.Room): Write? {
            val write = queue.firstOrNull() ?: return null
            val fits = room.ops >= 1 && write.changes.sumOf { EncodedSize.of(it) } <= room.bytes
            return if (fits) queue.removeFirst() else null
        }

        override fun prepare(revision: Long) = Unit

        override fun prepared(revision: Long) = true

        override fun unprepare() = Unit

        override fun onElected(fencingToken: Long, revision: Long, writes: Long, basis: Long) =
            log.start(LeadershipRecord("m", 77, fencingToken, writes), revision)

        override fun onDeposed() {
            deposed = true
            log.stop()
        }

        fun write(key: String, value: String = "v") {
            queue.add(
                Write(listOf(Change(key, mapOf("x" to value))), onRefused = { refused.add(key) }) { durable.add(key) },
            )
        }

        private fun answer(e: Effect.State): StateReply =
            when (val op = e.op) {
                is StateOp.Read -> lead?.let { StateReply.Found(it) } ?: StateReply.Missing
                is StateOp.List -> StateReply.Unavailable
                is StateOp.Commit -> {
                    commits.add(op)
                    rule(op).also { if (it is StateReply.Committed) apply(op, it.revision) }
                }
            }

        fun apply(op: StateOp.Commit, revision: Long) {
            lead = KeyValue(LeadershipRecord.KEY, op.changes.first().value, revision)
        }

        fun play(from: Long, to: Long) {
            for (t in from..to step 20) {
                context.now = Now(t, t)
                if (!deposed) leadership.tick()
                log.pump()
                while (true) {
                    val out = context.drain().ifEmpty { break }
                    notes.addAll(out.filterIsInstance<Effect.LogEvent>())
                    for (e in out) if (e is Effect.State) context.reply(Input.State(e.ticket, answer(e)))
                }
            }
        }

        /** As the service does with smaller limits than the log knows of. */
        fun limits(valueChars: Int, ops: Int) {
            rule = { op ->
                if (op.changes.size > ops ||
                    op.changes.any { (it.value?.get("x") as? String).orEmpty().length > valueChars }
                ) {
                    StateReply.Rejected("too large")
                } else {
                    StateReply.Committed(++revision)
                }
            }
        }
    }

    @Test
    fun `a transaction that is refused for its size is sent in smaller ones, in order, and none is lost`() {
        val b = Bench()
        b.limits(100, 4)
        val keys = List(40) { "k$it" }
        keys.forEach { b.write(it) }
        b.play(0, 6000)
        assertEquals(keys, b.durable)
        assertEquals(emptyList<String>(), b.refused)
        assertFalse(b.deposed)
    }

    @Test
    fun `one write that is too large neither holds up the others nor is tried for ever`() {
        val b = Bench()
        b.limits(100, 12)
        for (i in 0..30) b.write("k$i", if (i == 7 || i == 20) "v".repeat(101) else "v")
        b.play(0, 3000)
        assertEquals(listOf("k7", "k20"), b.refused)
        assertEquals(List(31) { "k$it" } - listOf("k7", "k20"), b.durable)
        assertTrue(b.leadership.entitled())
        assertEquals(1, b.notes.count { it.level == Effect.Level.ERROR }, "told once in ten seconds")
    }

    @Test
    fun `a write that its source gives again and again leaves room for the others and for renewals`() {
        val b = Bench()
        b.limits(100, 12)

        fun large() {
            b.queue.add(Write(listOf(Change("large", mapOf("x" to "v".repeat(200)))), onRefused = ::large) {})
        }
        large()
        repeat(200) { b.write("k$it") }
        b.play(0, 30_000)
        assertEquals(200, b.durable.size)
        assertTrue(b.leadership.entitled())
        assertTrue(b.notes.count { it.level == Effect.Level.ERROR } <= 4)
    }

    @Test
    fun `what was sent before without an answer is looked for before the refusal counts`() {
        for (executed in listOf(false, true)) {
            val b = Bench()
            b.play(0, 1000)
            repeat(3) { b.write("k$it") }
            var sent = 0
            b.rule = { op ->
                if (op.changes.size == 1 || sent > 1) {
                    StateReply.Committed(++b.revision)
                } else if (sent++ == 0) {
                    StateReply.NoResponse.also { if (executed) b.apply(op, ++b.revision) }
                } else {
                    StateReply.Rejected("too many")
                }
            }
            b.play(1020, 2000)
            assertEquals(listOf("k0", "k1", "k2"), b.durable, "executed: $executed")
            assertFalse(b.deposed)
            val withKeys = b.commits.filter { it.changes.size > 1 }
            assertEquals(executed, withKeys.size == 2, "sent once more although it was executed, or not at all")
        }
    }

    @Test
    fun `a refused transaction that is carried out after all ends the term, and is not taken for its parts`() {
        val b = Bench()
        b.play(0, 1000)
        repeat(2) { b.write("k$it") }
        var sent = 0
        b.rule = { op ->
            when (sent++) {
                0 -> StateReply.NoResponse
                1 -> StateReply.Rejected("too many")
                else ->
                    StateReply
                        .Conflict(
                            listOf(LeadershipRecord.KEY),
                        ).also { b.apply(b.commits[b.commits.size - 2], 900) }
            }.also { if (op.changes.size == 1) sent = 0 }
        }
        b.play(1020, 1300)
        assertTrue(b.deposed)
        assertEquals(emptyList<String>(), b.durable)
    }

    /** As a service that counts by the second, and what it refuses not at all. */
    private class Bucket(private val perS: Double, private val b: Bench) {
        private var tokens = perS
        private var at = 0L

        fun take(op: StateOp.Commit): StateReply {
            val t = b.context.steady
            tokens = minOf(perS, tokens + (t - at) * perS / 1000)
            at = t
            if (op.changes.size > tokens) return StateReply.Unavailable
            tokens -= op.changes.size
            return StateReply.Committed(++b.revision)
        }
    }

    @Test
    fun `a rate that is lowered without a word below what one transaction takes does not stall the log`() {
        val b = Bench()
        b.play(0, 1000)
        b.rule = Bucket(8.0, b)::take
        repeat(30) { b.write("k$it") }
        b.play(1020, 30_000)
        assertEquals(List(30) { "k$it" }, b.durable)
        assertFalse(b.deposed)
    }

    @Test
    fun `a rate that is too low for a transaction without an answer does not stall the log either`() {
        val b = Bench()
        b.play(0, 1000)
        val bucket = Bucket(8.0, b)
        var silent = 0
        b.rule = { op -> if (op.changes.size > 8 && silent++ == 0) StateReply.NoResponse else bucket.take(op) }
        repeat(30) { b.write("k$it") }
        b.play(1020, 30_000)
        assertEquals(1, minOf(silent, 1))
        assertEquals(List(30) { "k$it" }, b.durable)
        assertFalse(b.deposed)
    }

    @Test
    fun `after a time of refusals for the rate writes go on within a second`() {
        val b = Bench()
        b.play(0, 1000)
        b.rule = { StateReply.Unavailable }
        repeat(10) { b.write("k$it") }
        b.play(1020, 21_000)
        b.rule = { StateReply.Committed(++b.revision) }
        b.play(21_020, 22_020)
        assertEquals(10, b.durable.size)
    }

    @Test
    fun `nothing put together exceeds the limits of changes, conditions and bytes`() {
        for (limits in listOf(
            StateLimits(80.0, 40.0, 8192, 12),
            StateLimits(20.0, 8.0, 1024, 3),
            StateLimits(40.0, 200.0, 4096, 100),
        )) {
            val b = Bench(limits)
            repeat(100) { b.write("k$it", "v".repeat(if (it % 3 == 0) limits.valueBytes - 64 else 5)) }
            b.play(0, 60_000)
            assertEquals(100, b.durable.size)
            for (c in b.commits) {
                assertTrue(c.changes.size <= limits.txnOps)
                assertTrue(c.conditions.size <= limits.txnOps * 4)
                assertTrue(c.changes.sumOf { EncodedSize.of(it) } <= 64 * 1024)
            }
        }
    }
}
