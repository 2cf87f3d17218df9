package org.chalkhollow.core.storage

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.common.StateOp
import org.chalkhollow.model.Change
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class RefusedTransactionsTest {
    private val context = CoreContext(1).also { it.now = Now(1_000, 1_000) }
    private val refused = RefusedTransactions(context, maxOps = 12)

    /** A transaction of one write for each of [keys], beside the change of the record. */
    private fun transaction(keys: List<Int>): Transaction {
        val changes = keys.map { Change("k$it", null) }
        val writes = changes.map { Write(listOf(it), onRejected = {}) {} }
        return Transaction(writes, StateOp.Commit(emptyList(), listOf(Change("record", null)) + changes), 0)
    }

    private fun takeParts(): List<List<String>> {
        val parts = ArrayList<List<String>>()
        while (refused.nextPart != null) parts.add(refused.removeNextPart().map { it.changes.single().key })
        return parts
    }

    @Test
    fun `a refusal for size halves, and parts of a part come before what follows it`() {
        refused.splitForSize(transaction(listOf(1, 2, 3, 4, 5)))
        refused.removeNextPart()
        refused.splitForSize(transaction(listOf(1, 2, 3)))
        assertEquals(listOf(listOf("k1", "k2"), listOf("k3"), listOf("k4", "k5")), takeParts())
        assertTrue(refused.mayRetry)
    }

    @Test
    fun `a refusal for rate quarters, and the parts wait`() {
        refused.splitForRate(transaction((1..8).toList()), retryMs = 250)
        assertFalse(refused.mayRetry)
        context.now = Now(1_250, 1_250)
        assertTrue(refused.mayRetry)
        assertEquals(listOf(2, 2, 2, 2), takeParts().map { it.size })
    }

    @Test
    fun `refusals lower what is sent at once, and commits raise it again up to the limit`() {
        refused.learnFromRefusal(transaction((1..8).toList()))
        assertEquals(4, refused.learnedMaxOps)
        repeat(20) { refused.onCommitted() }
        assertEquals(12, refused.learnedMaxOps)
    }

    @Test
    fun `a refused transaction of one change teaches nothing, and a new term forgets all`() {
        refused.learnFromRefusal(transaction(listOf(1)))
        assertEquals(Int.MAX_VALUE, refused.learnedMaxOps)
        refused.learnFromRefusal(transaction(listOf(1, 2)))
        refused.splitForRate(transaction(listOf(1, 2)), retryMs = 250)
        refused.clear()
        assertNull(refused.nextPart)
        assertTrue(refused.mayRetry)
        assertEquals(Int.MAX_VALUE, refused.learnedMaxOps)
    }
}
