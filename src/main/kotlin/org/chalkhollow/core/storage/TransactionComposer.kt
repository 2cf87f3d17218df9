package org.chalkhollow.core.storage

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.EncodedSize
import org.chalkhollow.core.common.StateOp
import org.chalkhollow.core.leadership.LeadershipRecord
import org.chalkhollow.model.Change
import org.chalkhollow.model.Condition

/**
 * Composes transactions. Owns the producers of writes, the leadership record as this leader wrote it last, and the
 * revisions of all keys that it knows. Each transaction is a compare-and-swap on the revisions of the record and of
 * every key that it changes. Called by [StateWriter].
 */
internal class TransactionComposer(
    private val context: CoreContext,
    /** Called in this order. */
    private val producers: List<WriteProducer>,
) {
    private val revisions = Object2LongOpenHashMap<String>()

    /** The record as the last composed transaction writes it. */
    var record = LeadershipRecord("", 0, 0, 0)
        private set

    /** The record's revision before that transaction, on which it is conditional. */
    var recordRevision = 0L
        private set

    fun start(newRecord: LeadershipRecord, newRevision: Long) {
        record = newRecord
        recordRevision = newRevision
    }

    fun clear() = revisions.clear()

    /** Records the [revision] of a key that was read. */
    fun rememberRevision(key: String, revision: Long) {
        revisions.put(key, revision)
    }

    /** Collects writes from the producers for a transaction of at most [maxOps] changes, not counting the record. */
    fun collectWrites(maxOps: Int): List<Write> {
        val budget = TransactionBudget(maxOps, MAX_TRANSACTION_BYTES)
        val writes = ArrayList<Write>()
        for (producer in producers) {
            while (budget.ops > 0) {
                val write = producer.next(budget) ?: break
                writes.add(write)
                budget.ops -= write.changes.size
                budget.bytes -= write.changes.sumOf { EncodedSize.of(it) }
            }
        }
        return writes
    }

    /**
     * Composes a transaction of [writes]. It increments the record's write count even if the last transaction was
     * rejected, so that a late copy of that one cannot be taken for this one.
     */
    fun compose(writes: List<Write>): Transaction {
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
        return Transaction(writes, StateOp.Commit(conditions, changes), context.steady)
    }

    /** [transaction] was committed; the keys that it changed have [revision]. */
    fun onCommitted(transaction: Transaction, revision: Long) {
        recordRevision = revision
        for (change in transaction.commit.changes) {
            if (change.value == null) revisions.removeLong(change.key) else revisions.put(change.key, revision)
        }
    }

    private companion object {
        const val MAX_TRANSACTION_BYTES = 40 * 1024
    }
}
