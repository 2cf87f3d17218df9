package org.chalkhollow.core.cluster

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet

/**
 * Which pages are dirty and in which order they are written. `ProgressPagesTest` covers that no completion is lost
 * when the page size changes.
 */
class ProgressPageOrderTest {
    private val pages = ProgressPages(tasksPerPage = 10)

    private fun bits(vararg indices: Int) = BitSet().apply { indices.forEach(::set) }

    @Test
    fun `a batch starts with the first unwritten completion, and again when a page is sent`() {
        pages.taskDone(3, now = 100)
        pages.taskDone(25, now = 200)
        assertEquals(100, pages.dirtySinceMs)
        assertEquals(0, pages.nextToWrite())
        pages.pageSent(0, now = 300)
        assertEquals(300, pages.dirtySinceMs)
        assertEquals(2, pages.nextToWrite())
    }

    @Test
    fun `a rejected page is dirty again, and may be written from its retry time on`() {
        pages.taskDone(3, now = 100)
        pages.pageSent(0, now = 100)
        assertFalse(pages.mayWrite(100))
        pages.pageRejected(0, retryAtMs = 500)
        assertFalse(pages.mayWrite(499))
        assertTrue(pages.mayWrite(500))
    }

    @Test
    fun `no page is written while the completion of the job is in flight`() {
        pages.completionMissing()
        assertTrue(pages.mayWrite(0))
        pages.completionSent()
        assertFalse(pages.mayWrite(0))
        pages.completionRejected(retryAtMs = 7)
        assertTrue(pages.mayWrite(7))
    }

    @Test
    fun `an oversized page is written after the pages that it covers, which are written from the highest down`() {
        pages.loaded(from = 0, done = bits(1, 12, 35), tasks = 40)
        val order = ArrayList<Int>()
        while (pages.mayWrite(0)) {
            val page = pages.nextToWrite()
            order.add(page)
            pages.pageSent(page, now = 0)
            pages.pageWritten(page)
        }
        assertEquals(listOf(3, 1, 0), order)
        assertEquals(setOf(0, 10, 30), pages.stored.toSet())
    }

    @Test
    fun `a stored page of the current size is not written again`() {
        pages.loaded(from = 10, done = bits(0, 9), tasks = 40)
        assertFalse(pages.mayWrite(0))
    }
}
