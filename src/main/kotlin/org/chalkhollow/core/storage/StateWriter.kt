package org.chalkhollow.core.storage

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.EncodedSize
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.core.common.StateOp
import org.chalkhollow.core.common.StateReply
import org.chalkhollow.core.leadership.Leadership
import org.chalkhollow.core.leadership.LeadershipRecord
import org.chalkhollow.model.Change
import org.chalkhollow.model.Condition
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.StateLimits

/**
 * Changes that belong into one transaction, and what to do once they are durable, or once the state service has refused
 * them although they came alone: a hint is dropped, and what must not be lost is given again later by its source.
 */
class Write(val changes: List<Change>, val onRefused: () -> Unit, val onDurable: () -> Unit)

/**
 * The leader's only way to write: one transaction at a time, each conditional on the stamp of the leadership record,
 * which it raises, and on the stamps of the keys it changes. So a deposed leader's late writes fail, every write renews
 * the lease, and a lost reply is resolved by looking whether the record counts one write more. A transaction that the
 * service refuses for its size, or again and again for its rate, is taken apart, down to one write each, so that no
 * write can hold up the others.
 */
class StateWriter(
    private val context: CoreContext,
    private val limits: StateLimits,
    private val options: OperatorSettings,
    private val leadership: Leadership,
    /** Who has something to write, the most urgent first. */
    private val sources: List<Source>,
) {
    /** Gives writes when asked; at most [Room] worth. */
    fun interface Source {
        fun next(room: Room): Write?
    }

    /** What is left in the transaction being put together. */
    class Room(var ops: Int, var bytes: Int)

    private val revisions = Object2LongOpenHashMap<String>()
    private var record = LeadershipRecord("", 0, 0, 0)
    private var recordRevision = 0L
    private var term = 0
    private var active = false
    private var batch: Batch? = null
    private var tokens = 0.0
    private var refilledAt = 0L
    private var lastSentAt = 0L
    private var retryAt = 0L
    private var failingSince = -1L
    private var lastTookMs = 0L

    /** What refused transactions were taken apart into; sent in this order before anything new. */
    private val parts = ArrayDeque<List<Write>>()

    /** Most changes beside the record, as far as refusals tell; grows again with every transaction that is taken. */
    private var learnedOps = Int.MAX_VALUE
    private var retryPartsAt = 0L
    private var complainedAt = Long.MIN_VALUE / 2

    private class Batch(val writes: List<Write>, val op: StateOp.Commit, val firstSentAt: Long) {
        var uncertain = false

        /** How often in a row it was not executed for want of service or rate. */
        var unavailable = 0
    }

    fun start(lead: LeadershipRecord, revision: Long) {
        stop()
        record = lead
        recordRevision = revision
        active = true
        tokens = budget() / 2 // the one before us may have spent from this second's budget
        refilledAt = context.steady
        lastSentAt = 0
    }

    fun stop() {
        term++
        active = false
        batch = null
        parts.clear()
        retryPartsAt = 0
        learnedOps = Int.MAX_VALUE
        revisions.clear()
        failingSince = -1
        lastTookMs = 0
        retryAt = 0
    }

    /** Notes the stamp of a key that was read. */
    fun seen(key: String, revision: Long) {
        revisions.put(key, revision)
    }

    /** Drops the stamp of a key that will never be written again. */
    fun retire(key: String) {
        revisions.removeLong(key)
    }

    /** Whether writes have failed for long enough that new requests should be turned away at once. */
    fun stalled(): Boolean = failingSince >= 0 && context.steady - failingSince > STALL_MS

    /**
     * Whether the last transaction took long, or the one under way does: no time to give up the lead and ask for it
     * again.
     */
    fun slow(): Boolean =
        failingSince >= 0 || batch.let { it != null && context.steady - it.firstSentAt > SLOW_MS } ||
            lastTookMs > SLOW_MS

    /** Puts the next transaction together and sends it, when none is in flight and the budget allows. */
    fun pump() {
        if (!active) return
        refill()
        val waiting = batch
        if (waiting != null) return sendAgainIfDue(waiting)
        val renewalDue = context.steady - lastSentAt >= options.leaderRenewMs
        if (tokens < if (renewalDue) 1.0 else 2.0) return
        // Each transaction costs a write for the record. When writes are scarce, a few are gathered for each.
        if (!renewalDue && tokens < budget() / 2 && context.steady - lastSentAt < SPACING_MS) return
        val part = parts.firstOrNull()
        if (part != null) return sendPart(part, renewalDue)
        val writes = gather()
        if (writes.isEmpty() && !renewalDue) return
        send(compose(writes))
    }

    private fun sendAgainIfDue(waiting: Batch) {
        if (retryAt <= 0 || context.steady < retryAt) return
        retryAt = 0
        send(waiting)
    }

    private fun sendPart(part: List<Write>, renewalDue: Boolean) {
        if (context.steady < retryPartsAt) return
        // Its changes were paid for once; a renewal must not wait until they are paid for again.
        if (tokens >= part.sumOf { it.changes.size } + 1) {
            send(compose(parts.removeFirst()))
        } else if (renewalDue) {
            send(compose(emptyList()))
        }
    }

    /** What the sources give for one transaction. */
    private fun gather(): List<Write> {
        val room = Room(minOf(limits.txnOps - 1, tokens.toInt() - 1, learnedOps), TXN_BYTES)
        val writes = ArrayList<Write>()
        for (source in sources) {
            while (room.ops > 0) {
                val write = source.next(room) ?: break
                writes.add(write)
                room.ops -= write.changes.size
                room.bytes -= write.changes.sumOf { EncodedSize.of(it) }
            }
        }
        return writes
    }

    /**
     * Every transaction counts one more in the record, also in place of a refused one: a late copy of that is told from
     * it.
     */
    private fun compose(writes: List<Write>): Batch {
        record = record.copy(writes = record.writes + 1)
        val conditions = ArrayList<Condition>()
        val changes = ArrayList<Change>()
        conditions.add(Condition(LeadershipRecord.KEY, recordRevision))
        changes.add(Change(LeadershipRecord.KEY, record.value()))
        for (write in writes) {
            for (change in write.changes) {
                conditions.add(Condition(change.key, revisions.getLong(change.key)))
                changes.add(change)
            }
        }
        tokens -= changes.size
        return Batch(writes, StateOp.Commit(conditions, changes), context.steady).also { batch = it }
    }

    private fun send(b: Batch) {
        lastSentAt = context.steady
        val sentAt = context.steady
        val inTerm = term
        context.callStateService(b.op) { reply ->
            if (term == inTerm) onReply(b, reply, sentAt) else context.dropped.count(DroppedInput.REPLY_LATE)
        }
    }

    private fun onReply(b: Batch, reply: StateReply, sentAt: Long) {
        when (reply) {
            is StateReply.Committed -> committed(b, reply.revision, if (b.uncertain) b.firstSentAt else sentAt)
            is StateReply.Conflict -> lookAtRecord(b)
            StateReply.NoResponse -> {
                b.uncertain = true
                failed(sentAt)
                again(b, 0)
            }
            is StateReply.Rejected -> rejected(b, reply.why)
            else -> {
                failed()
                b.unavailable++
                when {
                    b.writes.size < 2 || b.unavailable % TAKE_APART_AFTER != 0 ->
                        again(b, if (b.unavailable > TAKE_APART_AFTER) RETRY_MS * 2 else RETRY_MS)
                    !b.uncertain -> thin(b)
                    else -> lookAtRecord(b) { thin(b) }
                }
            }
        }
    }

    /**
     * Refused for what it is. An earlier sending without an answer may have been taken all the same, which the record
     * tells.
     */
    private fun rejected(b: Batch, why: String) {
        if (context.steady - complainedAt >= COMPLAIN_MS) {
            complainedAt = context.steady
            val keys =
                b.writes
                    .flatMap { it.changes }
                    .take(KEYS_NAMED)
                    .joinToString { it.key }
            context.emit(
                Effect.LogEvent(
                    Effect.Level.ERROR,
                    "the state service refuses a transaction of ${b.op.changes.size} changes ($keys): $why",
                ),
            )
        }
        if (b.uncertain) return lookAtRecord(b) { rejected(b, why) }
        if (b.writes.isEmpty()) {
            failed()
            return again(b, REFUSED_RETRY_MS)
        }
        if (b.writes.size > 1 || b.op.changes.size > 2) learnedOps = maxOf(1, (b.op.changes.size - 1) / 2)
        if (b.writes.size > 1) return takeApart(b, (b.writes.size + 1) / 2)
        batch = null
        b.writes.single().onRefused()
        pump()
    }

    /** Not executed again and again: it may ask for more at once than the service's rate allows in a burst. */
    private fun thin(b: Batch) {
        retryPartsAt = context.steady + RETRY_MS
        takeApart(b, maxOf(1, b.writes.size / THINNED_TO))
    }

    private fun takeApart(b: Batch, size: Int) {
        batch = null
        for (part in b.writes.chunked(size).asReversed()) parts.addFirst(part)
        pump()
    }

    private fun again(b: Batch, afterMs: Long) {
        retryAt = context.steady + afterMs
        tokens = maxOf(0.0, tokens - b.op.changes.size) // a failing transaction counts as well
        if (afterMs == 0L) pump()
    }

    private fun failed(since: Long = context.steady) {
        if (failingSince < 0) failingSince = since
        leadership.writeFailed(since)
    }

    /**
     * The conditions did not hold: either an earlier sending of the same transaction was applied, or someone else
     * leads. When they were not looked at, neither may be so, and [unchanged] says what then: should an earlier sending
     * be carried out yet, the conditions of the next transaction fail, its count in the record is another, and the term
     * ends.
     */
    private fun lookAtRecord(b: Batch, unchanged: (() -> Unit)? = null) {
        val inTerm = term
        context.callStateService(StateOp.Read(LeadershipRecord.KEY)) { reply ->
            if (term != inTerm) return@callStateService context.dropped.count(DroppedInput.REPLY_LATE)
            when (reply) {
                is StateReply.Found -> {
                    val stands = LeadershipRecord.of(reply.row)
                    if (stands == record) {
                        committed(b, reply.row.revision, b.firstSentAt)
                    } else if (unchanged != null && reply.row.revision == recordRevision) {
                        b.uncertain = false
                        unchanged()
                    } else {
                        leadership.depose("generation ${stands.fencingToken} of ${stands.owner} stands")
                    }
                }
                StateReply.Missing -> leadership.depose("the leadership record is gone")
                else -> {
                    failed()
                    again(b, RETRY_MS)
                }
            }
        }
    }

    private fun committed(b: Batch, revision: Long, sentAt: Long) {
        batch = null
        lastTookMs = context.steady - b.firstSentAt
        retryAt = 0
        failingSince = -1
        if (learnedOps < limits.txnOps) learnedOps++
        recordRevision = revision
        for (change in b.op.changes) {
            if (change.value == null) revisions.removeLong(change.key) else revisions.put(change.key, revision)
        }
        leadership.renewed(sentAt)
        for (write in b.writes) write.onDurable()
        pump()
    }

    private fun refill() {
        val t = context.steady
        tokens = minOf(budget(), tokens + (t - refilledAt) * budget() / MS_PER_S)
        refilledAt = t
    }

    private fun budget(): Double = limits.writeRps * BUDGET_SHARE

    private companion object {
        /** Below the rate that the service allows, since requests that were held up on their way arrive together. */
        const val BUDGET_SHARE = 0.9
        const val RETRY_MS = 250L

        /** A renewal alone that is refused is a fault of the service, or the record is unlike what we think. */
        const val REFUSED_RETRY_MS = 1000L
        const val SPACING_MS = 120L
        const val STALL_MS = 1000L
        const val SLOW_MS = 400L
        const val TXN_BYTES = 40 * 1024
        const val TAKE_APART_AFTER = 3
        const val COMPLAIN_MS = 10_000L

        /** How many keys a log line names. */
        const val KEYS_NAMED = 3

        /** Into how many parts a transaction goes that was not executed again and again. */
        const val THINNED_TO = 4
    }
}
