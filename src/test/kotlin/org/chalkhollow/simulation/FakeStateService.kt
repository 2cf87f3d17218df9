package org.chalkhollow.simulation

import org.chalkhollow.core.common.StateOp
import org.chalkhollow.core.common.StateReply
import org.chalkhollow.model.KeyValue
import org.chalkhollow.model.KeyValuePage
import org.chalkhollow.settings.StateLimits
import org.chalkhollow.wire.Pack
import java.util.TreeMap

/** A fake of the state service, as its published protocol describes it. */
class FakeStateService(private val clock: VirtualClock, private val network: Network, private val limits: StateLimits) {
    private class Entry(val value: Any?, val revision: Long)

    private val keys = TreeMap<String, Entry>()
    private var revision = 1L
    private var outageUntilMs = 0L
    private val rejectedUntilMs = HashMap<String, Long>()

    /** Sabotage for tests of the checks: conditions always hold. */
    var ignoresConditions = false
    val size: Int get() = keys.size

    /**
     * Limits that hold from now on, in the way of the real service: what is beyond them is refused and not a fault of
     * the test.
     */
    var loweredLimits: StateLimits? = null
        set(value) {
            field = value
            tokens = value?.writeRps ?: 0.0
            refilledAtMs = clock.timeMs
        }

    /** How many transactions were refused for their size and for the rate since the limits were [lowered]. */
    var rejectedCount = 0
        private set
    var throttledCount = 0
        private set
    private var tokens = 0.0
    private var refilledAtMs = 0L

    /** What is stored under [prefix]. */
    fun stored(prefix: String): Map<String, Any?> =
        keys.tailMap(prefix).entries.takeWhile { it.key.startsWith(prefix) }.associate {
            it.key to it.value.value
        }

    /** What the [lowered] limits say to [op]; null when it is within them. */
    private fun checkLoweredLimits(op: StateOp.Commit): StateReply? {
        val now = loweredLimits ?: return null
        val large = op.changes.firstOrNull { c -> (c.value?.let { Pack.encode(it).size } ?: 0) > now.valueBytes }
        if (large != null || op.changes.size > now.txnOps || op.conditions.size > now.txnOps * 4) {
            rejectedCount++
            return StateReply.Rejected(if (large != null) "value of ${large.key} is too large" else "too many changes")
        }
        tokens = minOf(now.writeRps, tokens + (clock.timeMs - refilledAtMs) * now.writeRps / 1000)
        refilledAtMs = clock.timeMs
        if (tokens < op.changes.size) {
            throttledCount++
            return StateReply.Unavailable
        }
        tokens -= op.changes.size
        return null
    }

    /** Told of every value that a transaction wants to store, and of null for a removal. */
    var onWrite: (String, ByteArray?) -> Unit = { _, _ -> }

    fun outage(forMs: Long) {
        outageUntilMs = clock.timeMs + forMs
    }

    fun rejectRequestsOf(node: String, forMs: Long) {
        rejectedUntilMs[node] = clock.timeMs + forMs
    }

    private var delayUntilMs = 0L
    private var delayedFraction = 0.0
    private var slowUntilMs = 0L
    private var slowResponseMs = 0L

    /** For [forMs], [share] of the commits get no answer and are carried out 2 to 12 s later, after newer ones. */
    fun delayCommits(fraction: Double, forMs: Long) {
        delayedFraction = fraction
        delayUntilMs = clock.timeMs + forMs
    }

    /** For [forMs], answers take about [ms]; requests are carried out somewhere on the way. */
    fun slowDown(responseMs: Long, forMs: Long) {
        slowResponseMs = responseMs
        slowUntilMs = clock.timeMs + forMs
    }

    /** Runs [op] for [node]; [reply] comes once, at the latest after the caller's time-out. */
    fun call(node: String, op: StateOp, reply: (StateReply) -> Unit) {
        var replied = false

        fun replyOnce(result: StateReply) {
            if (!replied) {
                replied = true
                reply(result)
            }
        }
        clock.after(TIMEOUT_MS) { replyOnce(StateReply.NoResponse) }
        network.send(node, NAME) {
            if (op is StateOp.Commit) {
                network.drawCopyDelayMs()?.let { delayMs ->
                    clock.after(delayMs) { if (clock.timeMs >= outageUntilMs) execute(op) }
                }
            }
            if (clock.timeMs < slowUntilMs) {
                clock.after(clock.between(slowResponseMs / 4, slowResponseMs / 2)) {
                    serve(
                        node,
                        op,
                    ) { result -> clock.after(clock.between(slowResponseMs / 4, slowResponseMs)) { replyOnce(result) } }
                }
            } else {
                serve(node, op, ::replyOnce)
            }
        }
    }

    private fun serve(node: String, op: StateOp, respond: (StateReply) -> Unit) {
        if (clock.timeMs < outageUntilMs || clock.timeMs < (rejectedUntilMs[node] ?: 0)) {
            network.send(NAME, node) { respond(StateReply.Unavailable) }
            return
        }
        if (op is StateOp.Commit && clock.timeMs < delayUntilMs && clock.chance(delayedFraction)) {
            clock.after(clock.between(2000, 12_000)) { executeAfterOutage(op) }
            return
        }
        val result = execute(op)
        network.send(NAME, node) { respond(result) }
    }

    private fun executeAfterOutage(op: StateOp) {
        if (clock.timeMs < outageUntilMs) {
            clock.after(outageUntilMs - clock.timeMs + clock.between(1, 50)) { executeAfterOutage(op) }
        } else {
            execute(op)
        }
    }

    private fun execute(op: StateOp): StateReply =
        when (op) {
            is StateOp.Read ->
                keys[op.key]?.let { StateReply.Found(KeyValue(op.key, it.value, it.revision)) }
                    ?: StateReply.Missing
            is StateOp.List -> {
                val rows =
                    keys
                        .tailMap(op.after ?: op.prefix, op.after == null)
                        .entries
                        .asSequence()
                        .takeWhile {
                            it.key.startsWith(op.prefix)
                        }.map { KeyValue(it.key, it.value.value, it.value.revision) }
                        .take(PAGE_SIZE + 1)
                        .toList()
                StateReply.Page(KeyValuePage(rows.take(PAGE_SIZE), rows.size > PAGE_SIZE))
            }
            is StateOp.Commit -> commit(op)
        }

    private fun commit(op: StateOp.Commit): StateReply {
        checkLoweredLimits(op)?.let { return it }
        check(op.changes.size <= limits.txnOps) { "${op.changes.size} changes in a transaction" }
        check(op.conditions.size <= limits.txnOps * 4) { "${op.conditions.size} conditions in a transaction" }
        for (change in op.changes) onWrite(change.key, change.value?.let(Pack::encode))
        val failed = op.conditions.filter { (keys[it.key]?.revision ?: 0L) != it.revision }.map { it.key }
        if (failed.isNotEmpty() && !ignoresConditions) return StateReply.Conflict(failed)
        revision++
        var bytes = 0
        for (change in op.changes) {
            if (change.value == null) {
                keys.remove(change.key)
                continue
            }
            val packed = Pack.encode(change.value)
            check(packed.size <= limits.valueBytes) { "value of ${change.key} has ${packed.size} bytes" }
            bytes += packed.size
            // Values go through the wire's form, so that what is read is what a process would read.
            keys[change.key] = Entry(Pack.decode(packed), revision)
        }
        check(bytes <= 64 * 1024) { "$bytes bytes in a transaction" }
        return StateReply.Committed(revision)
    }

    companion object {
        const val NAME = "state"
        private const val TIMEOUT_MS = 1500L
        private const val PAGE_SIZE = 20
    }
}
