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
    /** A leader without peers, its writer, and a state service played by [rule]. */
    private class Bench(limits: StateLimits = StateLimits(80.0, 40.0, 8192, 12)) : Leadership.Events {
        val context = CoreContext(3).also { it.now = Now(0, 0) }
        private val options = OperatorSettings()
        val leadership = Leadership(context, "m", emptyList(), 77, options, 0, 0, this)
        val writer = StateWriter(context, limits, options, leadership, listOf(WriteProducer(::next)))
        val queue = ArrayDeque<Write>()
        val durable = ArrayList<String>()
        val refused = ArrayList<String>()
        val commits = ArrayList<StateOp.Commit>()
        val logEvents = ArrayList<Effect.LogEvent>()
        var steppedDown = false
        var revision = 1L
        var storedRecord: KeyValue? = null
        var rule: (StateOp.Commit) -> StateReply = { StateReply.Committed(++revision) }

        init {
            play(0, 0)
        }

        private fun next(budget: TransactionBudget): Write? {
            val write = queue.firstOrNull() ?: return null
            val fits = budget.ops >= 1 && write.changes.sumOf { EncodedSize.of(it) } <= budget.bytes
            return if (fits) queue.removeFirst() else null
        }

        override fun requestSnapshot(revision: Long) = Unit

        override fun snapshotComplete(revision: Long) = true

        override fun discardSnapshot() = Unit

        override fun onElected(fencingToken: Long, revision: Long, writes: Long, snapshotRevision: Long) =
            writer.start(LeadershipRecord("m", 77, fencingToken, writes), revision)

        override fun onSteppedDown() {
            steppedDown = true
            writer.stop()
        }

        fun write(key: String, value: String = "v") {
            queue.add(
                Write(listOf(Change(key, mapOf("x" to value))), onRejected = { refused.add(key) }) { durable.add(key) },
            )
        }

        private fun answer(effect: Effect.State): StateReply =
            when (val op = effect.op) {
                is StateOp.Read -> storedRecord?.let { StateReply.Found(it) } ?: StateReply.Missing
                is StateOp.List -> StateReply.Unavailable
                is StateOp.Commit -> {
                    commits.add(op)
                    rule(op).also { if (it is StateReply.Committed) apply(op, it.revision) }
                }
            }

        fun apply(op: StateOp.Commit, revision: Long) {
            storedRecord = KeyValue(LeadershipRecord.KEY, op.changes.first().value, revision)
        }

        fun play(from: Long, to: Long) {
            for (t in from..to step 20) {
                context.now = Now(t, t)
                if (!steppedDown) leadership.tick()
                writer.flush()
                answerAll()
            }
        }

        /** Answers calls of the state service, and those that follow from the answers. */
        private fun answerAll() {
            while (true) {
                val effects = context.drain().ifEmpty { break }
                logEvents.addAll(effects.filterIsInstance<Effect.LogEvent>())
                for (call in effects.filterIsInstance<Effect.State>()) {
                    context.reply(Input.State(call.ticket, answer(call)))
                }
            }
        }

        /** As the service does with smaller limits than the writer knows of. */
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
        val bench = Bench()
        bench.limits(100, 4)
        val keys = List(40) { "k$it" }
        keys.forEach { bench.write(it) }
        bench.play(0, 6000)
        assertEquals(keys, bench.durable)
        assertEquals(emptyList<String>(), bench.refused)
        assertFalse(bench.steppedDown)
    }

    @Test
    fun `one write that is too large neither holds up the others nor is tried for ever`() {
        val bench = Bench()
        bench.limits(100, 12)
        for (i in 0..30) bench.write("k$i", if (i == 7 || i == 20) "v".repeat(101) else "v")
        bench.play(0, 3000)
        assertEquals(listOf("k7", "k20"), bench.refused)
        assertEquals(List(31) { "k$it" } - listOf("k7", "k20"), bench.durable)
        assertTrue(bench.leadership.mayActAsLeader())
        assertEquals(1, bench.logEvents.count { it.level == Effect.Level.ERROR }, "told once in ten seconds")
    }

    @Test
    fun `a write that its producer gives again and again leaves room for the others and for renewals`() {
        val bench = Bench()
        bench.limits(100, 12)

        fun large() {
            bench.queue.add(Write(listOf(Change("large", mapOf("x" to "v".repeat(200)))), onRejected = ::large) {})
        }
        large()
        repeat(200) { bench.write("k$it") }
        bench.play(0, 30_000)
        assertEquals(200, bench.durable.size)
        assertTrue(bench.leadership.mayActAsLeader())
        assertTrue(bench.logEvents.count { it.level == Effect.Level.ERROR } <= 4)
    }

    @Test
    fun `what was sent before without an answer is looked for before the refusal counts`() {
        for (executed in listOf(false, true)) {
            val bench = Bench()
            bench.play(0, 1000)
            repeat(3) { bench.write("k$it") }
            var sent = 0
            bench.rule = { op ->
                if (op.changes.size == 1 || sent > 1) {
                    StateReply.Committed(++bench.revision)
                } else if (sent++ == 0) {
                    StateReply.NoResponse.also { if (executed) bench.apply(op, ++bench.revision) }
                } else {
                    StateReply.Rejected("too many")
                }
            }
            bench.play(1020, 2000)
            assertEquals(listOf("k0", "k1", "k2"), bench.durable, "executed: $executed")
            assertFalse(bench.steppedDown)
            val withKeys = bench.commits.filter { it.changes.size > 1 }
            assertEquals(executed, withKeys.size == 2, "sent once more although it was executed, or not at all")
        }
    }

    @Test
    fun `a refused transaction that is carried out after all ends the term, and is not taken for one of its parts`() {
        val bench = Bench()
        bench.play(0, 1000)
        repeat(2) { bench.write("k$it") }
        var sent = 0
        bench.rule = { op ->
            when (sent++) {
                0 -> StateReply.NoResponse
                1 -> StateReply.Rejected("too many")
                else ->
                    StateReply
                        .Conflict(
                            listOf(LeadershipRecord.KEY),
                        ).also { bench.apply(bench.commits[bench.commits.size - 2], 900) }
            }.also { if (op.changes.size == 1) sent = 0 }
        }
        bench.play(1020, 1300)
        assertTrue(bench.steppedDown)
        assertEquals(emptyList<String>(), bench.durable)
    }

    /** As a service that counts by the second, and what it refuses not at all. */
    private class RateLimit(private val perS: Double, private val bench: Bench) {
        private var available = perS
        private var at = 0L

        fun take(op: StateOp.Commit): StateReply {
            val t = bench.context.steady
            available = minOf(perS, available + (t - at) * perS / 1000)
            at = t
            if (op.changes.size > available) return StateReply.Unavailable
            available -= op.changes.size
            return StateReply.Committed(++bench.revision)
        }
    }

    @Test
    fun `a rate that is lowered without a word below what one transaction takes does not stall the writer`() {
        val bench = Bench()
        bench.play(0, 1000)
        bench.rule = RateLimit(8.0, bench)::take
        repeat(30) { bench.write("k$it") }
        bench.play(1020, 30_000)
        assertEquals(List(30) { "k$it" }, bench.durable)
        assertFalse(bench.steppedDown)
    }

    @Test
    fun `a rate that is too low for a transaction without an answer does not stall the writer either`() {
        val bench = Bench()
        bench.play(0, 1000)
        val rateLimit = RateLimit(8.0, bench)
        var silent = 0
        bench.rule = { op -> if (op.changes.size > 8 && silent++ == 0) StateReply.NoResponse else rateLimit.take(op) }
        repeat(30) { bench.write("k$it") }
        bench.play(1020, 30_000)
        assertEquals(1, minOf(silent, 1))
        assertEquals(List(30) { "k$it" }, bench.durable)
        assertFalse(bench.steppedDown)
    }

    @Test
    fun `after a time of refusals for the rate writes go on within a second`() {
        val bench = Bench()
        bench.play(0, 1000)
        bench.rule = { StateReply.Unavailable }
        repeat(10) { bench.write("k$it") }
        bench.play(1020, 21_000)
        bench.rule = { StateReply.Committed(++bench.revision) }
        bench.play(21_020, 22_020)
        assertEquals(10, bench.durable.size)
    }

    @Test
    fun `nothing put together exceeds the limits of changes, conditions and bytes`() {
        for (limits in listOf(
            StateLimits(80.0, 40.0, 8192, 12),
            StateLimits(20.0, 8.0, 1024, 3),
            StateLimits(40.0, 200.0, 4096, 100),
        )) {
            val bench = Bench(limits)
            repeat(100) { bench.write("k$it", "v".repeat(if (it % 3 == 0) limits.valueBytes - 64 else 5)) }
            bench.play(0, 60_000)
            assertEquals(100, bench.durable.size)
            for (c in bench.commits) {
                assertTrue(c.changes.size <= limits.txnOps)
                assertTrue(c.conditions.size <= limits.txnOps * 4)
                assertTrue(c.changes.sumOf { EncodedSize.of(it) } <= 64 * 1024)
            }
        }
    }
}
