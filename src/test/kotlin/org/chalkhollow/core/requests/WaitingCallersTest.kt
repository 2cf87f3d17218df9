package org.chalkhollow.core.requests

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.Now
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class WaitingCallersTest {
    private val context = CoreContext(1).also { it.now = Now(0, 0) }
    private val waiting = WaitingCallers(context, Responder(context))

    private fun responses(): List<Effect.Response> = context.drain().filterIsInstance<Effect.Response>()

    @Test
    fun `remove returns the callers of a job once, in the order of arrival`() {
        listOf(7, 5, 6).forEach { waiting.add("j-1", it) }
        waiting.add("j-2", 8)
        assertEquals(listOf(7, 5, 6), waiting.remove("j-1"))
        assertEquals(emptyList<Int>(), waiting.remove("j-1"))
        assertTrue("j-2" in waiting)
        assertEquals(emptyList<Effect.Response>(), responses())
    }

    @Test
    fun `a caller that waits too long gets 503, and the write stays pending`() {
        waiting.add("j-1", 7)
        context.now = Now(100, 100)
        waiting.expire(timeoutMs = 100)
        assertEquals(emptyList<Effect.Response>(), responses())
        context.now = Now(101, 101)
        waiting.expire(timeoutMs = 100)
        assertEquals(listOf(7 to 503), responses().map { it.call to it.status })
        assertTrue("j-1" in waiting)
        waiting.add("j-1", 9)
        assertEquals(listOf(9), waiting.remove("j-1"))
    }

    @Test
    fun `clear responds to all callers and removes the writes`() {
        waiting.add("j-1", 7)
        waiting.add("j-2", 8)
        waiting.clear()
        assertEquals(setOf(7, 8), responses().map { it.call }.toSet())
        assertFalse("j-1" in waiting)
        assertEquals(0, waiting.size)
    }
}
