package org.chalkhollow.simulation

import org.chalkhollow.core.common.StateOp
import org.chalkhollow.core.common.StateReply
import org.chalkhollow.model.KeyValue
import org.chalkhollow.model.KeyValuePage
import org.chalkhollow.settings.StateLimits
import org.chalkhollow.wire.Pack
import java.util.TreeMap

/** A fake of the state service that follows its published protocol. */
class FakeStateService(private val clock: VirtualClock, private val network: Network, private val limits: StateLimits) {
    private class Entry(val value: Any?, val revision: Long)

    private val keys = TreeMap<String, Entry>()
    private var revision = 1L
    private var outageUntilMs = 0L
    private val rejectedUntilMs = HashMap<String, Long>()

    /** Commits transactions whose conditions fail, so that tests of the rules see violations. */
    var ignoresConditions = false
    val size: Int get() = keys.size

    /**
     * Limits that are enforced from now on, as the real service does: a transaction beyond them is rejected or
     * throttled. A transaction beyond [limits], in contrast, fails the test. Null if only [limits] are enforced.
     */
    var loweredLimits: StateLimits? = null
        set(value) {
            field = value
            tokens = value?.writeRps ?: 0.0
            refilledAtMs = clock.timeMs
        }

    /** Transactions that change a key with this prefix are rejected; null for none. */
    var rejectedPrefix: String? = null

    /** How many transactions were beyond the size limits in [loweredLimits]. */
    var rejectedCount = 0
        private set

    /** How many transactions were beyond the write rate in [loweredLimits]. */
    var throttledCount = 0
        private set
    private var tokens = 0.0
    private var refilledAtMs = 0L

    /** The stored values whose keys start with [prefix], by key. */
    fun stored(prefix: String): Map<String, Any?> =
        keys.tailMap(prefix).entries.takeWhile { it.key.startsWith(prefix) }.associate {
            it.key to it.value.value
        }

    /** The error reply if [op] is beyond [loweredLimits]; null if it is within them. */
    private fun checkLoweredLimits(op: StateOp.Commit): StateReply? {
        val enforced = loweredLimits ?: return null
        val large = op.changes.firstOrNull { c -> (c.value?.let { Pack.encode(it).size } ?: 0) > enforced.valueBytes }
        if (large != null || op.changes.size > enforced.txnOps || op.conditions.size > enforced.txnOps * 4) {
            rejectedCount++
            return StateReply.Rejected(if (large != null) "value of ${large.key} is too large" else "too many changes")
        }
        tokens = minOf(enforced.writeRps, tokens + (clock.timeMs - refilledAtMs) * enforced.writeRps / 1000)
        refilledAtMs = clock.timeMs
        if (tokens < op.changes.size) {
            throttledCount++
            return StateReply.Unavailable
        }
        tokens -= op.changes.size
        return null
    }

    /** Called with the key and encoded value of every change in a transaction, also a failed one; null is a removal. */
    var onWrite: (String, ByteArray?) -> Unit = { _, _ -> }

    /** For [forMs], every request gets an unavailable reply. */
    fun outage(forMs: Long) {
        outageUntilMs = clock.timeMs + forMs
    }

    /** For [forMs], every request of controller [node] gets an unavailable reply. */
    fun rejectRequestsOf(node: String, forMs: Long) {
        rejectedUntilMs[node] = clock.timeMs + forMs
    }

    private var delayUntilMs = 0L
    private var delayedFraction = 0.0
    private var slowUntilMs = 0L
    private var slowResponseMs = 0L

    /** For [forMs], [fraction] of the transactions get no reply and are executed 2 to 12 s later, after newer ones. */
    fun delayCommits(fraction: Double, forMs: Long) {
        delayedFraction = fraction
        delayUntilMs = clock.timeMs + forMs
    }

    /** For [forMs], replies take 0.5 to 1.5 times [responseMs]; requests are executed part of the way through. */
    fun slowDown(responseMs: Long, forMs: Long) {
        slowResponseMs = responseMs
        slowUntilMs = clock.timeMs + forMs
    }

    /** Executes [op] for controller [node]. Calls [reply] once, at the latest after the controller's time-out. */
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
        val prefix = rejectedPrefix
        if (prefix != null &&
            op.changes.any { it.key.startsWith(prefix) }
        ) {
            return StateReply.Rejected("$prefix is not accepted")
        }
        check(
            op.changes.size <= limits.txnOps,
        ) { "transaction has ${op.changes.size} changes of at most ${limits.txnOps}" }
        check(op.conditions.size <= limits.txnOps * 4) {
            "transaction has ${op.conditions.size} conditions of at most ${limits.txnOps * 4}"
        }
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
            check(packed.size <= limits.valueBytes) {
                "value of ${change.key} has ${packed.size} of at most ${limits.valueBytes} bytes"
            }
            bytes += packed.size
            // Encoded and decoded, so that a reader gets the types that a real process gets.
            keys[change.key] = Entry(Pack.decode(packed), revision)
        }
        check(bytes <= 64 * 1024) { "transaction has $bytes bytes of values, at most 65536 are allowed" }
        return StateReply.Committed(revision)
    }

    companion object {
        const val NAME = "state"
        private const val TIMEOUT_MS = 1500L
        private const val PAGE_SIZE = 20
    }
}
