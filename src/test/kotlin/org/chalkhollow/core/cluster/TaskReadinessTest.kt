package org.chalkhollow.core.cluster

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class TaskReadinessTest {
    private val progress = JobProgress(3)
    private val tasks = TaskReadiness(3, progress)

    @Test
    fun `a task becomes ready again only when none of its attempts may be on a machine`() {
        tasks.attemptReserved(0)
        tasks.attemptReserved(0)
        assertEquals(1, tasks.nextReady(0))
        tasks.attemptReleased(0)
        assertTrue(tasks.isLive(0))
        assertEquals(2, tasks.readyCount)
        tasks.attemptReleased(0)
        assertTrue(tasks.noneLive)
        assertEquals(0, tasks.nextReady(0))
    }

    @Test
    fun `a completed task is never ready again`() {
        tasks.attemptReserved(1)
        progress.markDone(1)
        tasks.taskDone(1)
        tasks.attemptReleased(1)
        assertEquals(2, tasks.nextReady(1))
        assertFalse(tasks.isLive(1))
    }

    @Test
    fun `a task counts as completed only once, and only if it belongs to the job`() {
        assertTrue(progress.markDone(2))
        assertFalse(progress.markDone(2))
        assertFalse(progress.markDone(3))
        assertEquals(1, progress.doneCount)
    }
}
