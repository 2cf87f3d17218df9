package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.jobs.Quotas
import org.chalkhollow.core.openJob
import org.chalkhollow.model.ExitCause
import org.chalkhollow.model.Shape
import org.chalkhollow.model.Team
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet

class AttemptOutcomesTest {
    private val context = CoreContext(1).also { it.now = Now(100_000, 100_000) }
    private val reservations =
        AttemptReservations(context, Quotas(listOf(Team("t", 100.0, 100.0, 0.0, 0.0))), AttemptEvents.None)
    private val outcomes = AttemptOutcomes(context, reservations)
    private var nextNumber = 100L

    private fun runningAttempt(job: OpenJob, machine: Machine, index: Int = 0): Attempt =
        reservations.reserve(job, index, nextNumber++, machine, marker = null, fromCredit = false).also {
            it.entered(Attempt.Phase.RUNNING, context.steady)
            job.tasks.runStarted()
        }

    private fun machine(id: Int) = Machine(id, "n-$id").also { it.markUp() }

    private fun acceptedJob(shape: Shape = Shape.ARRAY) =
        openJob("j-1", shape = shape, tasks = 2).also { it.entry.accepted() }

    @Test
    fun `a completed attempt is finished only after its completion is recorded`() {
        val job = acceptedJob()
        val attempt = runningAttempt(job, machine(1))
        outcomes.onExit(attempt, ExitCause.DONE)
        assertTrue(attempt.completed)
        assertFalse(attempt.outcomeRecorded)
        assertEquals(listOf(0, 1), listOf(job.tasks.running, job.progress.doneCount))
        outcomes.onCompletionsRecorded(job, BitSet())
        assertFalse(attempt.outcomeRecorded, "its completion was not among the recorded ones")
        outcomes.onCompletionsRecorded(job, job.progress.snapshot())
        assertTrue(attempt.finished)
    }

    @Test
    fun `the backoff of a job grows once its tasks have failed on several machines`() {
        val job = acceptedJob()
        val backoffsMs =
            List(8) { failure ->
                val attempt = runningAttempt(job, machine(failure))
                outcomes.onExit(attempt, ExitCause.ERROR)
                assertTrue(attempt.finished && job.tasks.nextReady(0) == 0, "the task is pending again")
                maxOf(0, job.backoff.notBeforeMs - context.steady)
            }
        assertEquals(listOf<Long>(0, 0, 2000, 2000, 2000, 4000, 4000, 4000), backoffsMs)
    }

    @Test
    fun `a service backs off when replicas keep ending soon after their start, but not after one that ran long`() {
        val job = acceptedJob(Shape.SERVICE)
        repeat(3) { outcomes.onExit(runningAttempt(job, machine(it)), ExitCause.DONE) }
        assertEquals(2000, job.backoff.notBeforeMs - context.steady)
        assertEquals(0, job.progress.doneCount, "a replica is never done")
        val longRunning = runningAttempt(job, machine(4))
        context.now = Now(120_000, 120_000)
        outcomes.onExit(longRunning, ExitCause.DONE)
        assertEquals(0, job.backoff.failures)
        assertTrue(job.backoff.notBeforeMs < context.steady)
    }
}
