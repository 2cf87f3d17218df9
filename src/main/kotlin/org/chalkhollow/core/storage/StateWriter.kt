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
 * Performs all writes of the leader, one transaction at a time. Each transaction is a compare-and-swap on the
 * leadership record, whose write count it increments, and on the keys that it changes. Therefore late writes of a
 * former leader fail, every write renews the leader lease, and the record's write count shows whether a transaction
 * without a reply was applied. A transaction that the service rejects for its size, or repeatedly does not execute
 * because of its rate limit, is split, down to single writes, so that no write can block the others.
 *
 * Owns the transaction in flight and its retries; its parts are [TransactionComposer], [WriteRateLimiter] and
 * [TransactionSplitter]. The controller starts and stops it with each term, and flushes it after each input.
 */
class StateWriter(
    private val context: CoreContext,
    private val limits: StateLimits,
    private val options: OperatorSettings,
    private val leadership: Leadership,
    /** In the order of urgency, the most urgent first. */
    producers: List<WriteProducer>,
) {
    private val composer = TransactionComposer(context, producers)
    private val rateLimiter = WriteRateLimiter(context, limits.writeRps)
    private val splitter = TransactionSplitter(context, limits.txnOps)

    /** Incremented when a term starts or ends, to recognize replies to an earlier term. */
    private var term = 0
    private var isActive = false
    private var inFlight: Transaction? = null
    private var lastSentAtMs = 0L

    /** When to send the transaction in flight again; [NEVER] while its reply is pending. */
    private var retryAtMs = NEVER

    /** Since when writes have failed or had no reply; [NEVER] while they succeed. */
    private var failingSinceMs = NEVER
    private var lastCommitMs = 0L
    private var rejectionLoggedAtMs = NEVER

    /** Starts a term; the leadership record is [newRecord] at [revision]. */
    fun start(newRecord: LeadershipRecord, revision: Long) {
        stop()
        composer.start(newRecord, revision)
        rateLimiter.start()
        isActive = true
        lastSentAtMs = 0
    }

    /** Ends the term. The transaction in flight may still be applied, but its outcome is ignored. */
    fun stop() {
        term++
        isActive = false
        inFlight = null
        composer.clear()
        splitter.clear()
        failingSinceMs = NEVER
        lastCommitMs = 0
        retryAtMs = NEVER
    }

    /** Records the [revision] of a key that was read. */
    fun rememberRevision(key: String, revision: Long) = composer.rememberRevision(key, revision)

    /** Whether writes have failed for so long that new requests should be rejected at once. */
    fun isStalled(): Boolean = failingSinceMs != NEVER && context.steady - failingSinceMs > STALLED_AFTER_MS

    /** Whether commits are slow or fail. The leader should not step down and campaign again then. */
    fun isSlow(): Boolean =
        failingSinceMs != NEVER || lastCommitMs > SLOW_COMMIT_MS ||
            inFlight.let { it != null && context.steady - it.firstSentAtMs > SLOW_COMMIT_MS }

    /** Composes the next transaction and sends it, if none is in flight and the rate limit allows it. */
    fun flush() {
        if (!isActive) return
        rateLimiter.refill()
        val pending = inFlight
        if (pending != null) return sendAgainIfDue(pending)
        val isRenewalDue = context.steady - lastSentAtMs >= options.leaderRenewMs
        if (rateLimiter.available < if (isRenewalDue) RENEWAL_CHANGES else MIN_CHANGES) return
        // Each transaction also changes the record. When few changes are left, writes wait to share one.
        if (!isRenewalDue && rateLimiter.isScarce && context.steady - lastSentAtMs < SCARCE_SEND_INTERVAL_MS) return
        val part = splitter.nextPart
        if (part != null) return sendPart(part, isRenewalDue)
        val maxOps = minOf(limits.txnOps - 1, rateLimiter.available.toInt() - 1, splitter.learnedMaxOps)
        val writes = composer.collectWrites(maxOps)
        if (writes.isNotEmpty() || isRenewalDue) sendNew(writes)
    }

    private fun sendAgainIfDue(transaction: Transaction) {
        if (retryAtMs == NEVER || context.steady < retryAtMs) return
        retryAtMs = NEVER
        send(transaction)
    }

    private fun sendPart(part: List<Write>, isRenewalDue: Boolean) {
        if (!splitter.canSendPart) return
        // The part counts against the rate limit again. A renewal must not wait until the limit allows the part.
        if (rateLimiter.available >= part.sumOf { it.changes.size } + RENEWAL_CHANGES) {
            sendNew(splitter.removeNextPart())
        } else if (isRenewalDue) {
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
        val sentAtMs = context.steady
        lastSentAtMs = sentAtMs
        val sentInTerm = term
        context.callStateService(transaction.commit) { reply ->
            if (term != sentInTerm) return@callStateService context.dropped.count(DroppedInput.REPLY_LATE)
            onReply(transaction, reply, sentAtMs)
        }
    }

    private fun onReply(transaction: Transaction, reply: StateReply, sentAtMs: Long) {
        when (reply) {
            is StateReply.Committed ->
                onCommitted(
                    transaction,
                    reply.revision,
                    if (transaction.outcomeUnknown) transaction.firstSentAtMs else sentAtMs,
                )
            is StateReply.Conflict -> resolveByRecord(transaction)
            StateReply.NoResponse -> {
                transaction.outcomeUnknown = true
                noteFailure(sentAtMs)
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
            transaction.parts.size < 2 || transaction.unavailableCount % SPLIT_AFTER_UNAVAILABLE_COUNT != 0 ->
                retryAfter(
                    transaction,
                    if (transaction.unavailableCount > SPLIT_AFTER_UNAVAILABLE_COUNT) RETRY_MS * 2 else RETRY_MS,
                )
            !transaction.outcomeUnknown -> splitForRate(transaction)
            else -> resolveByRecord(transaction) { splitForRate(transaction) }
        }
    }

    /**
     * The service rejected [transaction]. If it was sent before without getting a reply, it may have been applied
     * then; the leadership record shows whether it was.
     */
    private fun onRejected(transaction: Transaction, why: String) {
        logRejection(transaction, why)
        when {
            transaction.outcomeUnknown -> resolveByRecord(transaction) { onRejected(transaction, why) }
            transaction.writes.isEmpty() -> {
                noteFailure(context.steady)
                retryAfter(transaction, REJECTED_RENEWAL_RETRY_MS)
            }
            else -> dropOrSplit(transaction)
        }
    }

    private fun dropOrSplit(transaction: Transaction) {
        splitter.learnFromRejection(transaction)
        inFlight = null
        if (transaction.parts.size > 1) {
            splitter.splitForSize(transaction)
        } else {
            transaction.writes.single().onRejected()
        }
        flush()
    }

    private fun splitForRate(transaction: Transaction) {
        inFlight = null
        splitter.splitForRate(transaction, RETRY_MS)
        flush()
    }

    /** Sends [transaction] again with the first flush after [delayMs]. */
    private fun retryAfter(transaction: Transaction, delayMs: Long) {
        retryAtMs = context.steady + delayMs
        rateLimiter.spendOnRetry(transaction.size)
    }

    private fun noteFailure(sinceMs: Long) {
        if (failingSinceMs == NEVER) failingSinceMs = sinceMs
        leadership.onWriteFailed(sinceMs)
    }

    /**
     * Reads the leadership record to find out whether [transaction] was applied when it was sent before, or another
     * controller leads. After a conflict, one of the two is the case.
     *
     * If the service did not check the conditions, the record may be unchanged; then [ifUnchanged] runs. An earlier
     * copy of the transaction may still be applied after that. Then the next transaction fails with a conflict, the
     * record's write count differs from the expected one, and the term ends.
     */
    private fun resolveByRecord(transaction: Transaction, ifUnchanged: (() -> Unit)? = null) {
        val sentInTerm = term
        context.callStateService(StateOp.Read(LeadershipRecord.KEY)) { reply ->
            if (term != sentInTerm) return@callStateService context.dropped.count(DroppedInput.REPLY_LATE)
            when (reply) {
                is StateReply.Found -> onRecordFound(transaction, reply, ifUnchanged)
                StateReply.Missing -> leadership.stepDown(StepDownReason.Local.RECORD_MISSING)
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
            onCommitted(transaction, reply.row.revision, transaction.firstSentAtMs)
        } else if (ifUnchanged != null && reply.row.revision == composer.recordRevision) {
            transaction.outcomeUnknown = false
            ifUnchanged()
        } else {
            leadership.stepDown(StepDownReason.Superseded(found))
        }
    }

    /** [transaction] was committed at [revision]. The leader lease runs from [sentAtMs]. */
    private fun onCommitted(transaction: Transaction, revision: Long, sentAtMs: Long) {
        inFlight = null
        lastCommitMs = context.steady - transaction.firstSentAtMs
        retryAtMs = NEVER
        failingSinceMs = NEVER
        splitter.onCommitted()
        composer.onCommitted(transaction, revision)
        leadership.onWriteConfirmed(sentAtMs)
        for (write in transaction.writes) write.onDurable()
        flush()
    }

    private fun logRejection(transaction: Transaction, why: String) {
        if (context.steady - rejectionLoggedAtMs < REJECTION_LOG_INTERVAL_MS) return
        rejectionLoggedAtMs = context.steady
        val changes = transaction.writes.flatMap { it.changes }
        val keys = changes.take(MAX_LOGGED_KEYS).joinToString { it.key }
        val text = "the state service rejected a transaction of ${transaction.size} changes (first keys: $keys): $why"
        context.emit(Effect.LogEvent(Effect.Level.ERROR, text))
    }

    private companion object {
        /** Changes in a transaction without writes: only the leadership record. */
        const val RENEWAL_CHANGES = 1.0

        /** Changes in the smallest transaction with a write: one, and the leadership record. */
        const val MIN_CHANGES = 2.0
        const val RETRY_MS = 250L

        /** Longer than [RETRY_MS]: a rejected renewal means a fault of the service or an unexpected record. */
        const val REJECTED_RENEWAL_RETRY_MS = 1000L
        const val SCARCE_SEND_INTERVAL_MS = 120L
        const val STALLED_AFTER_MS = 1000L
        const val SLOW_COMMIT_MS = 400L

        /** A transaction is split each time that it was sent this many times without being executed. */
        const val SPLIT_AFTER_UNAVAILABLE_COUNT = 3
        const val REJECTION_LOG_INTERVAL_MS = 10_000L

        const val MAX_LOGGED_KEYS = 3
    }
}
