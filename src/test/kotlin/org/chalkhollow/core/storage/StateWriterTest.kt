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

/** Tests that the writer copes with transactions that the state service rejects, throttles or does not reply to. */
class StateWriterTest {
    /** A leader without peers, its writer, and a state service that replies to commits with [commitReply]. */
    private class Harness(limits: StateLimits = StateLimits(80.0, 40.0, 8192, 12)) : Leadership.Events {
        val context = CoreContext(3).also { it.now = Now(0, 0) }
        private val options = OperatorSettings()
        val leadership = Leadership(context, "m", emptyList(), 77, options, 0, 0, this)
        val writer = StateWriter(context, limits, options, leadership, listOf(WriteProducer(::next)))
        val queue = ArrayDeque<Write>()
        val durable = ArrayList<String>()
        val rejected = ArrayList<String>()
        val commits = ArrayList<StateOp.Commit>()
        val logEvents = ArrayList<Effect.LogEvent>()
        var steppedDown = false
        var revision = 1L
        var storedRecord: KeyValue? = null
        var commitReply: (StateOp.Commit) -> StateReply = { StateReply.Committed(++revision) }

        init {
            run(0, 0)
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
                Write(listOf(Change(key, mapOf("x" to value))), onRejected = { rejected.add(key) }) {
                    durable.add(key)
                },
            )
        }

        private fun replyTo(call: Effect.State): StateReply =
            when (val op = call.op) {
                is StateOp.Read -> storedRecord?.let { StateReply.Found(it) } ?: StateReply.Missing
                is StateOp.List -> StateReply.Unavailable
                is StateOp.Commit -> {
                    commits.add(op)
                    commitReply(op).also { if (it is StateReply.Committed) apply(op, it.revision) }
                }
            }

        fun apply(op: StateOp.Commit, revision: Long) {
            storedRecord = KeyValue(LeadershipRecord.KEY, op.changes.first().value, revision)
        }

        fun run(fromMs: Long, toMs: Long) {
            for (t in fromMs..toMs step 20) {
                context.now = Now(t, t)
                if (!steppedDown) leadership.tick()
                writer.flush()
                replyToAll()
            }
        }

        /** Replies to calls of the state service, also to those that follow from the replies. */
        private fun replyToAll() {
            while (true) {
                val effects = context.drain().ifEmpty { break }
                logEvents.addAll(effects.filterIsInstance<Effect.LogEvent>())
                for (call in effects.filterIsInstance<Effect.State>()) {
                    context.reply(Input.State(call.ticket, replyTo(call)))
                }
            }
        }

        /** Rejects transactions above limits that are lower than the writer knows. */
        fun rejectAbove(valueChars: Int, ops: Int) {
            commitReply = { op ->
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
    fun `a transaction that is rejected for its size is split, and its writes are committed in order`() {
        val harness = Harness()
        harness.rejectAbove(100, 4)
        val keys = List(40) { "k$it" }
        keys.forEach { harness.write(it) }
        harness.run(0, 6000)
        assertEquals(keys, harness.durable)
        assertEquals(emptyList<String>(), harness.rejected)
        assertFalse(harness.steppedDown)
    }

    @Test
    fun `a write that is too large does not block the others and is not retried forever`() {
        val harness = Harness()
        harness.rejectAbove(100, 12)
        for (i in 0..30) harness.write("k$i", if (i == 7 || i == 20) "v".repeat(101) else "v")
        harness.run(0, 3000)
        assertEquals(listOf("k7", "k20"), harness.rejected)
        assertEquals(List(31) { "k$it" } - listOf("k7", "k20"), harness.durable)
        assertTrue(harness.leadership.mayActAsLeader())
        assertEquals(1, harness.logEvents.count { it.level == Effect.Level.ERROR }, "errors logged within ten seconds")
    }

    @Test
    fun `a rejected write that its producer returns again and again blocks neither other writes nor renewals`() {
        val harness = Harness()
        harness.rejectAbove(100, 12)

        fun large() {
            harness.queue.add(Write(listOf(Change("large", mapOf("x" to "v".repeat(200)))), onRejected = ::large) {})
        }
        large()
        repeat(200) { harness.write("k$it") }
        harness.run(0, 30_000)
        assertEquals(200, harness.durable.size)
        assertTrue(harness.leadership.mayActAsLeader())
        assertTrue(harness.logEvents.count { it.level == Effect.Level.ERROR } <= 4)
    }

    @Test
    fun `after a sending without a reply, a rejection counts only if the record shows that it was not applied`() {
        for (executed in listOf(false, true)) {
            val harness = Harness()
            harness.run(0, 1000)
            repeat(3) { harness.write("k$it") }
            var sent = 0
            harness.commitReply = { op ->
                if (op.changes.size == 1 || sent > 1) {
                    StateReply.Committed(++harness.revision)
                } else if (sent++ == 0) {
                    StateReply.NoResponse.also { if (executed) harness.apply(op, ++harness.revision) }
                } else {
                    StateReply.Rejected("too many")
                }
            }
            harness.run(1020, 2000)
            assertEquals(listOf("k0", "k1", "k2"), harness.durable, "executed: $executed")
            assertFalse(harness.steppedDown)
            val withKeys = harness.commits.filter { it.changes.size > 1 }
            assertEquals(executed, withKeys.size == 2, "was resent although applied, or was not resent")
        }
    }

    @Test
    fun `a rejected transaction that is applied later ends the term and is not taken for one of its parts`() {
        val harness = Harness()
        harness.run(0, 1000)
        repeat(2) { harness.write("k$it") }
        var sent = 0
        harness.commitReply = { op ->
            when (sent++) {
                0 -> StateReply.NoResponse
                1 -> StateReply.Rejected("too many")
                else ->
                    StateReply
                        .Conflict(
                            listOf(LeadershipRecord.KEY),
                        ).also { harness.apply(harness.commits[harness.commits.size - 2], 900) }
            }.also { if (op.changes.size == 1) sent = 0 }
        }
        harness.run(1020, 1300)
        assertTrue(harness.steppedDown)
        assertEquals(emptyList<String>(), harness.durable)
    }

    /** The rate limit of a service that does not count the transactions it throttles. */
    private class RateLimit(private val changesPerS: Double, private val harness: Harness) {
        private var available = changesPerS
        private var refilledAtMs = 0L

        fun take(op: StateOp.Commit): StateReply {
            val t = harness.context.steady
            available = minOf(changesPerS, available + (t - refilledAtMs) * changesPerS / 1000)
            refilledAtMs = t
            if (op.changes.size > available) return StateReply.Unavailable
            available -= op.changes.size
            return StateReply.Committed(++harness.revision)
        }
    }

    @Test
    fun `an unannounced rate limit below the size of one transaction does not stall the writer`() {
        val harness = Harness()
        harness.run(0, 1000)
        harness.commitReply = RateLimit(8.0, harness)::take
        repeat(30) { harness.write("k$it") }
        harness.run(1020, 30_000)
        assertEquals(List(30) { "k$it" }, harness.durable)
        assertFalse(harness.steppedDown)
    }

    @Test
    fun `a rate limit below the size of a transaction without a reply does not stall the writer`() {
        val harness = Harness()
        harness.run(0, 1000)
        val rateLimit = RateLimit(8.0, harness)
        var sendingsWithoutReply = 0
        harness.commitReply = { op ->
            if (op.changes.size > 8 && sendingsWithoutReply++ == 0) StateReply.NoResponse else rateLimit.take(op)
        }
        repeat(30) { harness.write("k$it") }
        harness.run(1020, 30_000)
        assertEquals(1, minOf(sendingsWithoutReply, 1))
        assertEquals(List(30) { "k$it" }, harness.durable)
        assertFalse(harness.steppedDown)
    }

    @Test
    fun `writes continue within a second after the service has been unavailable`() {
        val harness = Harness()
        harness.run(0, 1000)
        harness.commitReply = { StateReply.Unavailable }
        repeat(10) { harness.write("k$it") }
        harness.run(1020, 21_000)
        harness.commitReply = { StateReply.Committed(++harness.revision) }
        harness.run(21_020, 22_020)
        assertEquals(10, harness.durable.size)
    }

    @Test
    fun `no transaction exceeds the limits on changes, conditions and bytes`() {
        for (limits in listOf(
            StateLimits(80.0, 40.0, 8192, 12),
            StateLimits(20.0, 8.0, 1024, 3),
            StateLimits(40.0, 200.0, 4096, 100),
        )) {
            val harness = Harness(limits)
            repeat(100) { harness.write("k$it", "v".repeat(if (it % 3 == 0) limits.valueBytes - 64 else 5)) }
            harness.run(0, 60_000)
            assertEquals(100, harness.durable.size)
            for (commit in harness.commits) {
                assertTrue(commit.changes.size <= limits.txnOps)
                assertTrue(commit.conditions.size <= limits.txnOps * 4)
                assertTrue(commit.changes.sumOf { EncodedSize.of(it) } <= 64 * 1024)
            }
        }
    }
}
