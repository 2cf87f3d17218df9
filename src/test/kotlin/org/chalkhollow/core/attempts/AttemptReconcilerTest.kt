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

    // An earlier version combined job, index and number into one number. Index 0 with number n + 31 and index 1 with
    // number n gave the same result, so the completion of one attempt counted for the other, and a job was reported as
    // done that was not.
    @Test
    fun `a completion counts only for the attempt with the same job, index and number`() {
        val job = job("j-1")
        val machine =
            Machine(0, "n-1").also {
                it.markUp()
                it.lease.beginEpoch(1)
                it.lease.advanceStatus(1)
            }
        val numbers = listOf(131L, 100L, 69L)
        numbers.forEachIndexed {
            index,
            number,
            ->
            reconciler.reserve(job, index, number, machine, null).startSent()
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
            machine,
            WorkerHeartbeat("n-1", "n-1", "x", "z", false, 1, 2, 1, null, tasks),
            fromHeartbeat = true,
        )
        assertEquals("{1}", job.progress.snapshot().toString())
        assertEquals(2, job.tasks.running)
        assertEquals(listOf(0, 2), machine.attempts.filter { it.phase == Attempt.Phase.RUNNING }.map { it.index })
    }

    // Replicas of a starved service that were placed on its credit used up the credit of all other starved jobs for as
    // long as they ran.
    @Test
    fun `a replica that is placed on credit does not use up the credit of other jobs`() {
        val machine = Machine(0, "n-1").also { it.markUp() }
        val batch = reconciler.reserve(job("j-1"), 0, 100, machine, null, fromCredit = true)
        val replica = reconciler.reserve(job("j-2", Shape.SERVICE), 0, 101, machine, null, fromCredit = true)
        for (attempt in listOf(batch, replica)) attempt.entered(Attempt.Phase.RUNNING, context.steady)
        assertEquals(1.0, reconciler.creditCpus)
        reconciler.onMachineGone(machine)
        assertEquals(0.0, reconciler.creditCpus)
    }
}
