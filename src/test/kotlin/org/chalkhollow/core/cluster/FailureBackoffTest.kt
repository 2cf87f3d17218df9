package org.chalkhollow.core.cluster

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class FailureBackoffTest {
    private val backoff = FailureBackoff()

    @Test
    fun `a machine where a task failed is avoided for a while`() {
        backoff.taskFailed(machine = 7, now = 1_000)
        assertTrue(backoff.avoids(7, 45_999))
        assertFalse(backoff.avoids(7, 46_000))
        assertFalse(backoff.avoids(8, 1_000), "nothing failed there")
    }

    @Test
    fun `one machine's faults do not hold the job up, those of several do, and longer and longer`() {
        repeat(10) { backoff.taskFailed(machine = 1, now = 1_000) }
        backoff.taskFailed(machine = 2, now = 1_000)
        assertEquals(0, backoff.notBeforeMs)
        backoff.taskFailed(machine = 3, now = 1_000)
        assertEquals(1_000L + (1_000 shl 4), backoff.notBeforeMs, "12 failures double the wait 4 times")
        repeat(30) { backoff.taskFailed(machine = 3, now = 1_000) }
        assertEquals(1_000L + (1_000 shl 5), backoff.notBeforeMs, "it is doubled 5 times at most")
    }

    @Test
    fun `a completion ends the count of failures, and a pause is never shortened`() {
        repeat(3) { backoff.taskFailed(machine = it, now = 0) }
        assertEquals(2_000, backoff.notBeforeMs)
        backoff.taskCompleted()
        assertEquals(0, backoff.failures)
        backoff.pauseUntil(500)
        assertEquals(2_000, backoff.notBeforeMs)
    }

    @Test
    fun `replicas that end soon are held up once more of them ended than the service has`() {
        repeat(2) { backoff.replicaEnded(machine = it, now = 1_000, placedForMs = 100, replicas = 2) }
        assertEquals(0, backoff.notBeforeMs)
        backoff.replicaEnded(machine = 0, now = 1_000, placedForMs = 100, replicas = 2)
        assertEquals(3_000, backoff.notBeforeMs)
        backoff.replicaEnded(machine = 0, now = 1_000, placedForMs = 15_001, replicas = 2)
        assertEquals(0, backoff.failures, "one that ran for long did not fail at its start")
    }
}
