package org.chalkhollow.core.cluster

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class FailureBackoffTest {
    private val backoff = FailureBackoff()

    @Test
    fun `a machine where a task failed is avoided for 45 s`() {
        backoff.taskFailed(machine = 7, now = 1_000)
        assertTrue(backoff.avoids(7, 45_999))
        assertFalse(backoff.avoids(7, 46_000))
        assertFalse(backoff.avoids(8, 1_000), "no task failed on this machine")
    }

    @Test
    fun `failures on one machine do not delay the job, those on three do with exponential backoff`() {
        repeat(10) { backoff.taskFailed(machine = 1, now = 1_000) }
        backoff.taskFailed(machine = 2, now = 1_000)
        assertEquals(0, backoff.notBeforeMs)
        backoff.taskFailed(machine = 3, now = 1_000)
        assertEquals(1_000L + (1_000 shl 4), backoff.notBeforeMs, "12 failures double the backoff 4 times")
        repeat(30) { backoff.taskFailed(machine = 3, now = 1_000) }
        assertEquals(1_000L + (1_000 shl 5), backoff.notBeforeMs, "the backoff doubles at most 5 times")
    }

    @Test
    fun `a completion resets the failure count, and a pause is never shortened`() {
        repeat(3) { backoff.taskFailed(machine = it, now = 0) }
        assertEquals(2_000, backoff.notBeforeMs)
        backoff.taskCompleted()
        assertEquals(0, backoff.failures)
        backoff.pauseUntil(500)
        assertEquals(2_000, backoff.notBeforeMs)
    }

    @Test
    fun `replicas that end early are delayed once more of them ended than the service has`() {
        repeat(2) { backoff.replicaEnded(machine = it, now = 1_000, placedForMs = 100, replicas = 2) }
        assertEquals(0, backoff.notBeforeMs)
        backoff.replicaEnded(machine = 0, now = 1_000, placedForMs = 100, replicas = 2)
        assertEquals(3_000, backoff.notBeforeMs)
        backoff.replicaEnded(machine = 0, now = 1_000, placedForMs = 15_001, replicas = 2)
        assertEquals(0, backoff.failures, "a replica that ran for more than 15 s does not count as a failure")
    }
}
