package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.openJob
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class AttemptTest {
    private val machine = Machine(0, "n-1")
    private val job = openJob("j-1", tasks = 2)

    private fun attempt(inherited: Boolean = false) =
        Attempt(job, 0, 100, machine, marker = null, fromCredit = false, inherited, placedAtMs = 1000)

    @Test
    fun `a new attempt has its marker pending, an inherited one counts as started`() {
        assertEquals(Attempt.Phase.MARKER_PENDING, attempt().phase)
        assertEquals(Attempt.Phase.START_SENT, attempt(inherited = true).phase)
    }

    @Test
    fun `the outcome of a direct start is unknown until concluded, and startedDirectly stays set`() {
        val attempt = attempt().also { it.markerPersisted() }
        attempt.directStartConcluded()
        assertFalse(attempt.startedDirectly, "nothing was sent directly")
        attempt.startSentDirectly()
        assertTrue(attempt.directStartOutcomeUnknown && attempt.startedDirectly)
        attempt.directStartConcluded()
        attempt.startNotExecuted()
        assertFalse(attempt.directStartOutcomeUnknown)
        assertTrue(attempt.startedDirectly, "a delayed copy of the start may still arrive")
        assertEquals(Attempt.Phase.MARKER_PERSISTED, attempt.phase)
    }

    @Test
    fun `only time in the running phase reduces the minimum remaining time`() {
        val attempt = attempt()
        assertEquals(4.0, attempt.minRemainingS(3000))
        attempt.entered(Attempt.Phase.FETCHING, 4000)
        assertEquals(4.0, attempt.minRemainingS(5000))
        attempt.entered(Attempt.Phase.RUNNING, 6000)
        assertEquals(1.0, attempt.minRemainingS(9000))
        job.runTimes.add(20.0)
        assertEquals(13.0, attempt.minRemainingS(9000), "observed run times of other tasks override the estimate")
    }
}
