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

class TransactionSplitterTest {
    private val context = CoreContext(1).also { it.now = Now(1_000, 1_000) }
    private val splitter = TransactionSplitter(context, maxOps = 12)

    /** A transaction with one write for each of [keys], and the change of the record. */
    private fun transaction(keys: List<Int>): Transaction {
        val changes = keys.map { Change("k$it", null) }
        val writes = changes.map { Write(listOf(it), onRejected = {}) {} }
        return Transaction(writes, StateOp.Commit(emptyList(), listOf(Change("record", null)) + changes), 0)
    }

    private fun takeParts(): List<List<String>> {
        val parts = ArrayList<List<String>>()
        while (splitter.nextPart != null) parts.add(splitter.removeNextPart().map { it.changes.single().key })
        return parts
    }

    @Test
    fun `a transaction rejected for its size is halved, and parts of a part come before the parts that follow it`() {
        splitter.splitForSize(transaction(listOf(1, 2, 3, 4, 5)))
        splitter.removeNextPart()
        splitter.splitForSize(transaction(listOf(1, 2, 3)))
        assertEquals(listOf(listOf("k1", "k2"), listOf("k3"), listOf("k4", "k5")), takeParts())
        assertTrue(splitter.canSendPart)
    }

    @Test
    fun `a transaction that exceeds the rate is split into four parts, which are sent after a delay`() {
        splitter.splitForRate(transaction((1..8).toList()), retryMs = 250)
        assertFalse(splitter.canSendPart)
        context.now = Now(1_250, 1_250)
        assertTrue(splitter.canSendPart)
        assertEquals(listOf(2, 2, 2, 2), takeParts().map { it.size })
    }

    @Test
    fun `rejections lower the number of changes per transaction, and commits raise it again up to the limit`() {
        splitter.learnFromRejection(transaction((1..8).toList()))
        assertEquals(4, splitter.learnedMaxOps)
        repeat(20) { splitter.onCommitted() }
        assertEquals(12, splitter.learnedMaxOps)
    }

    @Test
    fun `a rejected transaction of one change does not lower the number, and clear discards parts and limits`() {
        splitter.learnFromRejection(transaction(listOf(1)))
        assertEquals(Int.MAX_VALUE, splitter.learnedMaxOps)
        splitter.learnFromRejection(transaction(listOf(1, 2)))
        splitter.splitForRate(transaction(listOf(1, 2)), retryMs = 250)
        splitter.clear()
        assertNull(splitter.nextPart)
        assertTrue(splitter.canSendPart)
        assertEquals(Int.MAX_VALUE, splitter.learnedMaxOps)
    }
}
