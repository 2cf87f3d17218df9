package org.chalkhollow.core.storage

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.leadership.LeadershipRecord
import org.chalkhollow.model.Change
import org.chalkhollow.model.Condition
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class TransactionComposerTest {
    private val record = LeadershipRecord("m", 77, 5, 0)
    private val queues = listOf(ArrayDeque(listOf("a", "b")), ArrayDeque(listOf("c", "d")))
    private val producers =
        queues.map { keys ->
            WriteProducer { budget ->
                if (budget.ops < 1) null else keys.removeFirstOrNull()?.let { write(Change(it, null)) }
            }
        }
    private val composer = TransactionComposer(CoreContext(1), producers).also { it.start(record, newRevision = 10) }

    private fun write(vararg changes: Change) = Write(changes.toList(), onRejected = {}) {}

    @Test
    fun `each transaction is conditional on the record and the keys it changes, and increments the write count`() {
        composer.rememberRevision("known", 4)
        val changes = arrayOf(Change("known", mapOf("x" to 1)), Change("new", mapOf("x" to 2)))
        val transaction = composer.compose(listOf(write(*changes)))
        val revisions = listOf(LeadershipRecord.KEY to 10L, "known" to 4L, "new" to 0L)
        assertEquals(revisions, transaction.commit.conditions.map { it.key to it.revision })
        assertEquals(
            record.copy(writes = 1).value(),
            transaction.commit.changes
                .first()
                .value,
        )
        assertEquals(3, transaction.size)
    }

    @Test
    fun `a transaction that replaces a rejected one increments the write count on the same revision`() {
        composer.compose(emptyList())
        val second = composer.compose(emptyList())
        assertEquals(2, composer.record.writes)
        assertEquals(listOf(Condition(LeadershipRecord.KEY, 10)), second.commit.conditions)
    }

    @Test
    fun `after a commit its keys have the new revision, and deleted keys have none`() {
        composer.rememberRevision("gone", 4)
        val first = composer.compose(listOf(write(Change("kept", mapOf("x" to 1)), Change("gone", null))))
        composer.onCommitted(first, 11)
        val next = composer.compose(listOf(write(Change("kept", null), Change("gone", mapOf("x" to 1)))))
        assertEquals(listOf(11L, 11L, 0L), next.commit.conditions.map { it.revision })
    }

    @Test
    fun `producers are called in order until the budget of changes is used up`() {
        assertEquals(listOf("a", "b", "c"), composer.collectWrites(maxOps = 3).map { it.changes.single().key })
        assertEquals(emptyList<Write>(), composer.collectWrites(maxOps = 0))
    }
}
