package org.chalkhollow.core.attempts

import org.chalkhollow.core.acceptDurably
import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.jobSpec
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.core.jobs.Quotas
import org.chalkhollow.model.ExitCause
import org.chalkhollow.model.Shape
import org.chalkhollow.model.TaskStatus
import org.chalkhollow.model.Team
import org.chalkhollow.model.WorkerHeartbeat
import org.chalkhollow.settings.StateLimits
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class AttemptReconcilerTest {
    private val context = CoreContext(1).also { it.now = Now(0, 0) }
    private val names = Interners().apply { teams.intern("t") }
    private val jobs = JobTable(context, names, StateLimits(80.0, 20.0, 8192, 12))
    private val reconciler = AttemptReconciler(context, jobs, Quotas(listOf(Team("t", 100.0, 100.0, 0.0, 0.0)))) { 1 }

    private fun job(id: String, shape: Shape = Shape.ARRAY): OpenJob = jobs.acceptDurably(jobSpec(id, shape))

    // Job, index and number were once mixed into one number: index 0 with number n + 31 and index 1 with number n came
    // out the same, so the completion of the one was taken for the other's, and a job was said to be done that was not.
    @Test
    fun `a completion counts for the attempt that it names and no other`() {
        val job = job("j-1")
        val m =
            Machine(0, "n-1").also {
                it.markUp()
                it.lease.beginEpoch(1)
                it.lease.advanceStatus(1)
            }
        val numbers = listOf(131L, 100L, 69L)
        numbers.forEachIndexed {
            index,
            n,
            ->
            reconciler.reserve(job, index, n, m, null).startSent()
        }

        fun task(index: Int, phase: TaskStatus.Phase, cause: ExitCause?) =
            TaskStatus("j-1", index, numbers[index], phase, cause)
        val tasks =
            listOf(
                task(0, TaskStatus.Phase.RUNNING, null),
                task(1, TaskStatus.Phase.EXITED, ExitCause.DONE),
                task(2, TaskStatus.Phase.RUNNING, null),
            )
        reconciler.reconcile(
            m,
            WorkerHeartbeat("n-1", "n-1", "x", "z", false, 1, 2, 1, null, tasks),
            fromHeartbeat = true,
        )
        assertEquals("{1}", job.progress.snapshot().toString())
        assertEquals(2, job.tasks.running)
        assertEquals(listOf(0, 2), m.attempts.filter { it.phase == Attempt.Phase.RUNNING }.map { it.index })
    }

    // A service that had been passed over kept what it was given from all others that were, for as long as it ran.
    @Test
    fun `a replica does not count against the share of work that was passed over`() {
        val m = Machine(0, "n-1").also { it.markUp() }
        val batch = reconciler.reserve(job("j-1"), 0, 100, m, null, fromCredit = true)
        val replica = reconciler.reserve(job("j-2", Shape.SERVICE), 0, 101, m, null, fromCredit = true)
        for (attempt in listOf(batch, replica)) attempt.entered(Attempt.Phase.RUNNING, context.steady)
        assertEquals(1.0, reconciler.creditCpus)
        reconciler.onMachineGone(m)
        assertEquals(0.0, reconciler.creditCpus)
    }
}
