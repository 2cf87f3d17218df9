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
    private val ample = TransactionBudget(10, 10_000)

    private fun write(vararg keys: String) = Write(keys.map { Change(it, null) }, onRefused = {}) {}

    @Test
    fun `a write that does not fit holds up those behind it`() {
        val large = write("a", "b")
        writes.add(large)
        writes.add(write("c"))
        assertNull(writes.next(TransactionBudget(1, 10_000)))
        assertSame(large, writes.next(ample))
    }

    @Test
    fun `a refused write comes again after a while, behind what is queued by then`() {
        val refused = write("a")
        val other = write("b")
        writes.retryLater(refused)
        writes.add(other)
        context.now = Now(REJECTED_RETRY_MS - 1, 0)
        assertSame(other, writes.next(ample))
        assertNull(writes.next(ample))
        context.now = Now(REJECTED_RETRY_MS, 0)
        assertSame(refused, writes.next(ample))
    }

    @Test
    fun `a refused removal of a key is tried until it is taken`() {
        garbage.collect("prog/j-1/0")
        var removal = garbage.next(ample)
        for (attempt in 1L..3L) {
            checkNotNull(removal).onRefused()
            context.now = Now(REJECTED_RETRY_MS * attempt, 0)
            removal = writes.next(ample)
        }
        assertEquals(listOf(Change("prog/j-1/0", null)), removal?.changes)
        assertNull(garbage.next(ample))
    }
}
