package org.chalkhollow.core.storage

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.NEVER
import org.chalkhollow.core.common.StateOp
import org.chalkhollow.core.common.StateReply
import org.chalkhollow.core.leadership.Leadership
import org.chalkhollow.core.leadership.LeadershipRecord
import org.chalkhollow.core.leadership.StepDownReason
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.StateLimits

/**
 * The leader's only way to write: one transaction at a time, each conditional on the revision of the leadership record,
 * which it raises, and on the revisions of the keys it changes. So a former leader's late writes fail, every write
 * renews the lease, and a lost reply is resolved by looking whether the record counts one write more. A transaction
 * that the service refuses for its size, or again and again for its rate, is split, down to one write each, so that no
 * write can hold up the others.
 *
 * Owns the transaction in flight and its retries; its parts are [TransactionComposer], [WriteRateLimiter] and
 * [RefusedTransactions]. The controller starts and stops it with each term, and flushes it after each input.
 */
class StateWriter(
    private val context: CoreContext,
    private val limits: StateLimits,
    private val options: OperatorSettings,
    private val leadership: Leadership,
    /** Who has something to write, the most urgent first. */
    producers: List<WriteProducer>,
) {
    private val composer = TransactionComposer(context, producers)
    private val rateLimiter = WriteRateLimiter(context, limits.writeRps)
    private val refused = RefusedTransactions(context, limits.txnOps)

    /** Grows with every term, so that replies to an earlier one are known. */
    private var term = 0
    private var active = false
    private var inFlight: Transaction? = null
    private var lastSentAt = 0L

    /** When to send the transaction in flight again; [NEVER] while its answer is awaited. */
    private var retryAt = NEVER

    /** Since when no write was confirmed although some were sent; [NEVER] while writes succeed. */
    private var failingSince = NEVER
    private var lastTookMs = 0L
    private var refusalLoggedAt = NEVER

    /** A term begins: the record is [newRecord], and has [revision]. */
    fun start(newRecord: LeadershipRecord, revision: Long) {
        stop()
        composer.start(newRecord, revision)
        rateLimiter.start()
        active = true
        lastSentAt = 0
    }

    /** The term ends; what is in flight may yet be applied, but its outcome counts no more. */
    fun stop() {
        term++
        active = false
        inFlight = null
        composer.clear()
        refused.clear()
        failingSince = NEVER
        lastTookMs = 0
        retryAt = NEVER
    }

    /** Notes the revision of a key that was read. */
    fun rememberRevision(key: String, revision: Long) = composer.rememberRevision(key, revision)

    /** Whether writes have failed for long enough that new requests should be turned away at once. */
    fun stalled(): Boolean = failingSince != NEVER && context.steady - failingSince > STALL_MS

    /**
     * Whether the last transaction took long, or the one under way does: no time to step down and campaign again.
     */
    fun slow(): Boolean =
        failingSince != NEVER || lastTookMs > SLOW_MS ||
            inFlight.let { it != null && context.steady - it.firstSentAt > SLOW_MS }

    /** Puts the next transaction together and sends it, when none is in flight and the rate allows. */
    fun flush() {
        if (!active) return
        rateLimiter.refill()
        val waiting = inFlight
        if (waiting != null) return sendAgainIfDue(waiting)
        val renewalDue = context.steady - lastSentAt >= options.leaderRenewMs
        if (rateLimiter.available < if (renewalDue) RENEWAL_CHANGES else MIN_CHANGES) return
        // Each transaction costs a write for the record. When writes are scarce, a few are gathered for each.
        if (!renewalDue && rateLimiter.isScarce && context.steady - lastSentAt < SPACING_MS) return
        val part = refused.nextPart
        if (part != null) return sendPart(part, renewalDue)
        val maxOps = minOf(limits.txnOps - 1, rateLimiter.available.toInt() - 1, refused.learnedMaxOps)
        val writes = composer.collectWrites(maxOps)
        if (writes.isNotEmpty() || renewalDue) sendNew(writes)
    }

    private fun sendAgainIfDue(transaction: Transaction) {
        if (retryAt == NEVER || context.steady < retryAt) return
        retryAt = NEVER
        send(transaction)
    }

    private fun sendPart(part: List<Write>, renewalDue: Boolean) {
        if (!refused.mayRetry) return
        // Its changes were paid for once; a renewal must not wait until they are paid for again.
        if (rateLimiter.available >= part.sumOf { it.changes.size } + RENEWAL_CHANGES) {
            sendNew(refused.removeNextPart())
        } else if (renewalDue) {
            sendNew(emptyList())
        }
    }

    private fun sendNew(writes: List<Write>) {
        val transaction = composer.compose(writes)
        rateLimiter.spend(transaction.size)
        inFlight = transaction
        send(transaction)
    }

    private fun send(transaction: Transaction) {
        val sentAt = context.steady
        lastSentAt = sentAt
        val sentInTerm = term
        context.callStateService(transaction.commit) { reply ->
            if (term != sentInTerm) return@callStateService context.dropped.count(DroppedInput.REPLY_LATE)
            onReply(transaction, reply, sentAt)
        }
    }

    private fun onReply(transaction: Transaction, reply: StateReply, sentAt: Long) {
        when (reply) {
            is StateReply.Committed ->
                onCommitted(transaction, reply.revision, if (transaction.uncertain) transaction.firstSentAt else sentAt)
            is StateReply.Conflict -> resolveByRecord(transaction)
            StateReply.NoResponse -> {
                transaction.uncertain = true
                noteFailure(sentAt)
                retryAfter(transaction, 0)
                flush()
            }
            is StateReply.Rejected -> onRejected(transaction, reply.reason)
            else -> onUnavailable(transaction)
        }
    }

    private fun onUnavailable(transaction: Transaction) {
        noteFailure(context.steady)
        transaction.unavailableCount++
        when {
            transaction.writes.size < 2 || transaction.unavailableCount % SPLIT_AFTER != 0 ->
                retryAfter(transaction, if (transaction.unavailableCount > SPLIT_AFTER) RETRY_MS * 2 else RETRY_MS)
            !transaction.uncertain -> splitForRate(transaction)
            else -> resolveByRecord(transaction) { splitForRate(transaction) }
        }
    }

    /**
     * Refused for what it is. An earlier sending without an answer may have been taken all the same, which the record
     * tells.
     */
    private fun onRejected(transaction: Transaction, why: String) {
        logRejection(transaction, why)
        when {
            transaction.uncertain -> resolveByRecord(transaction) { onRejected(transaction, why) }
            transaction.writes.isEmpty() -> {
                noteFailure(context.steady)
                retryAfter(transaction, REJECTED_RENEWAL_RETRY_MS)
            }
            else -> dropOrSplit(transaction)
        }
    }

    private fun dropOrSplit(transaction: Transaction) {
        refused.learnFromRefusal(transaction)
        inFlight = null
        if (transaction.writes.size > 1) refused.splitForSize(transaction) else transaction.writes.single().onRefused()
        flush()
    }

    private fun splitForRate(transaction: Transaction) {
        inFlight = null
        refused.splitForRate(transaction, RETRY_MS)
        flush()
    }

    /** Sends [transaction] again with the first flush that comes [delayMs] from now or later. */
    private fun retryAfter(transaction: Transaction, delayMs: Long) {
        retryAt = context.steady + delayMs
        rateLimiter.spendOnRetry(transaction.size)
    }

    private fun noteFailure(since: Long) {
        if (failingSince == NEVER) failingSince = since
        leadership.writeFailed(since)
    }

    /**
     * The conditions did not hold: either an earlier sending of the same transaction was applied, or someone else
     * leads. When they were not looked at, neither may be so, and [ifUnchanged] says what then: should an earlier
     * sending be carried out yet, the conditions of the next transaction fail, its count in the record is another, and
     * the term ends.
     */
    private fun resolveByRecord(transaction: Transaction, ifUnchanged: (() -> Unit)? = null) {
        val sentInTerm = term
        context.callStateService(StateOp.Read(LeadershipRecord.KEY)) { reply ->
            if (term != sentInTerm) return@callStateService context.dropped.count(DroppedInput.REPLY_LATE)
            when (reply) {
                is StateReply.Found -> onRecordFound(transaction, reply, ifUnchanged)
                StateReply.Missing -> leadership.stepDown(StepDownReason.Own.RECORD_MISSING)
                else -> {
                    noteFailure(context.steady)
                    retryAfter(transaction, RETRY_MS)
                }
            }
        }
    }

    private fun onRecordFound(transaction: Transaction, reply: StateReply.Found, ifUnchanged: (() -> Unit)?) {
        val found = LeadershipRecord.of(reply.row)
        if (found == composer.record) {
            onCommitted(transaction, reply.row.revision, transaction.firstSentAt)
        } else if (ifUnchanged != null && reply.row.revision == composer.recordRevision) {
            transaction.uncertain = false
            ifUnchanged()
        } else {
            leadership.stepDown(StepDownReason.Superseded(found))
        }
    }

    /** [transaction] is durable at [revision]; its lease counts from [sentAt]. */
    private fun onCommitted(transaction: Transaction, revision: Long, sentAt: Long) {
        inFlight = null
        lastTookMs = context.steady - transaction.firstSentAt
        retryAt = NEVER
        failingSince = NEVER
        refused.onCommitted()
        composer.onCommitted(transaction, revision)
        leadership.renewed(sentAt)
        for (write in transaction.writes) write.onDurable()
        flush()
    }

    private fun logRejection(transaction: Transaction, why: String) {
        if (context.steady - refusalLoggedAt < REFUSAL_LOG_MS) return
        refusalLoggedAt = context.steady
        val changes = transaction.writes.flatMap { it.changes }
        val keys = changes.take(KEYS_NAMED).joinToString { it.key }
        val text = "the state service refuses a transaction of ${transaction.size} changes ($keys): $why"
        context.emit(Effect.LogEvent(Effect.Level.ERROR, text))
    }

    private companion object {
        /** What a transaction without writes costs: the change of the record. */
        const val RENEWAL_CHANGES = 1.0

        /** What a transaction with one change costs. */
        const val MIN_CHANGES = 2.0
        const val RETRY_MS = 250L

        /** A renewal alone that is refused is a fault of the service, or the record is unlike what we think. */
        const val REJECTED_RENEWAL_RETRY_MS = 1000L
        const val SPACING_MS = 120L
        const val STALL_MS = 1000L
        const val SLOW_MS = 400L

        /** After so many times in a row without execution a transaction is split. */
        const val SPLIT_AFTER = 3
        const val REFUSAL_LOG_MS = 10_000L

        /** How many keys a log line names. */
        const val KEYS_NAMED = 3
    }
}
