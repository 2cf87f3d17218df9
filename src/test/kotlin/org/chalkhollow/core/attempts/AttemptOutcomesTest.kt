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
    private var number = 100L

    private fun running(job: OpenJob, machine: Machine, index: Int = 0): Attempt =
        reservations.reserve(job, index, number++, machine, marker = null, fromCredit = false).also {
            it.entered(Attempt.Phase.RUNNING, context.steady)
            job.tasks.runStarted()
        }

    private fun machine(id: Int) = Machine(id, "n-$id").also { it.markUp() }

    private fun openedJob(shape: Shape = Shape.ARRAY) =
        openJob("j-1", shape = shape, tasks = 2).also { it.entry.accepted() }

    @Test
    fun `a completion is forgotten only once it is recorded`() {
        val job = openedJob()
        val attempt = running(job, machine(1))
        outcomes.onExit(attempt, ExitCause.DONE)
        assertTrue(attempt.completed)
        assertFalse(attempt.outcomeRecorded)
        assertEquals(listOf(0, 1), listOf(job.tasks.running, job.progress.doneCount))
        outcomes.onRecorded(job, BitSet())
        assertFalse(attempt.outcomeRecorded, "another task's completion was recorded")
        outcomes.onRecorded(job, job.progress.snapshot())
        assertTrue(attempt.finished)
    }

    @Test
    fun `a job waits longer and longer once its tasks fail on several machines`() {
        val job = openedJob()
        val waits =
            List(8) { failure ->
                val attempt = running(job, machine(failure))
                outcomes.onExit(attempt, ExitCause.ERROR)
                assertTrue(attempt.finished && job.tasks.nextReady(0) == 0, "the task is ready again")
                maxOf(0, job.backoff.notBeforeMs - context.steady)
            }
        assertEquals(listOf<Long>(0, 0, 2000, 2000, 2000, 4000, 4000, 4000), waits)
    }

    @Test
    fun `a replica that ends again and again soon after its start waits, one that lasted does not`() {
        val job = openedJob(Shape.SERVICE)
        repeat(3) { outcomes.onExit(running(job, machine(it)), ExitCause.DONE) }
        assertEquals(2000, job.backoff.notBeforeMs - context.steady)
        assertEquals(0, job.progress.doneCount, "a replica is never done")
        val lasting = running(job, machine(4))
        context.now = Now(120_000, 120_000)
        outcomes.onExit(lasting, ExitCause.DONE)
        assertEquals(0, job.backoff.failures)
        assertTrue(job.backoff.notBeforeMs < context.steady)
    }
}
