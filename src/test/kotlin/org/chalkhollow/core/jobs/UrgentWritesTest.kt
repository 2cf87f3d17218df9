package org.chalkhollow.core.jobs

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.storage.TransactionBudget
import org.chalkhollow.core.storage.Write
import org.chalkhollow.model.Change
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertSame
import org.junit.jupiter.api.Test

class UrgentWritesTest {
    private val context = CoreContext(1).apply { now = Now(0, 0) }
    private val writes = UrgentWrites(context)
    private val garbage = KeyGarbageCollector(writes)
    private val ampleBudget = TransactionBudget(10, 10_000)

    private fun write(vararg keys: String) = Write(keys.map { Change(it, null) }, onRejected = {}) {}

    @Test
    fun `a write that does not fit blocks the writes behind it`() {
        val large = write("a", "b")
        writes.add(large)
        writes.add(write("c"))
        assertNull(writes.next(TransactionBudget(1, 10_000)))
        assertSame(large, writes.next(ampleBudget))
    }

    @Test
    fun `a rejected write is queued again after a delay, behind the writes queued by then`() {
        val rejected = write("a")
        val other = write("b")
        writes.retryLater(rejected)
        writes.add(other)
        context.now = Now(REJECTED_RETRY_MS - 1, 0)
        assertSame(other, writes.next(ampleBudget))
        assertNull(writes.next(ampleBudget))
        context.now = Now(REJECTED_RETRY_MS, 0)
        assertSame(rejected, writes.next(ampleBudget))
    }

    @Test
    fun `a rejected deletion of a key is retried until it is accepted`() {
        garbage.collect("prog/j-1/0")
        var deletion = garbage.next(ampleBudget)
        for (attempt in 1L..3L) {
            checkNotNull(deletion).onRejected()
            context.now = Now(REJECTED_RETRY_MS * attempt, 0)
            deletion = writes.next(ampleBudget)
        }
        assertEquals(listOf(Change("prog/j-1/0", null)), deletion?.changes)
        assertNull(garbage.next(ampleBudget))
    }
}
