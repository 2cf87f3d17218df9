package org.chalkhollow.core.placement

import org.chalkhollow.core.PlacementFixture
import org.chalkhollow.core.acceptDurably
import org.chalkhollow.core.attempts.Allocation
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.jobSpec
import org.chalkhollow.core.jobs.ServiceLevelObjectives
import org.chalkhollow.model.WorkerHeartbeat
import org.chalkhollow.settings.OperatorSettings
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Guards against a job that starves unnoticed: tasks that were allocated in each round and never dispatched counted as
 * placed, so that the job got no credit and could not use reserved capacity.
 */
class PlacementCreditTest {
    private val fixture = PlacementFixture(OperatorSettings(maxPassedOverS = 90.0))
    private val context = fixture.context
    private val jobs = fixture.jobs
    private val reconciler = fixture.reconciler
    private val fleet = fixture.fleet
    private val objectives = ServiceLevelObjectives(emptyList(), fleet::minBootMs)
    private val placement =
        Placement(context, jobs, fixture.quotas, reconciler, fleet, fixture.options, objectives)

    /** Runs a placement round [second] seconds after the start; the machine has just sent a heartbeat. */
    private fun roundAt(second: Long): List<Allocation> {
        context.now = Now(second * 1000, second * 1000)
        val heartbeat = WorkerHeartbeat("n-1", "n-1", "small", "east", false, 1, second + 1, 1, null, emptyList())
        fleet.observe(heartbeat)?.let(fleet::confirmReachable)
        return placement.round()
    }

    /** Dispatches [allocations] as `DispatchLog` does. */
    private fun dispatch(allocations: List<Allocation>) {
        for (allocation in allocations) {
            for (index in allocation.tasks) reconciler.reserve(allocation.job, index, 1, allocation.machine, null)
        }
        placement.onDispatching(allocations)
        placement.onDispatched(allocations)
    }

    /** Accepts a job of four tasks and lets rounds allocate them up to [lastSecond]; returns the last allocations. */
    private fun allocateUpTo(lastSecond: Long): List<Allocation> {
        jobs.acceptDurably(jobSpec("j-1", tasks = 4))
        for (second in 0 until lastSecond) assertTrue(roundAt(second).isNotEmpty())
        return roundAt(lastSecond)
    }

    @Test
    fun `a job whose tasks are allocated but never dispatched gets credit, and uses it when they are`() {
        val allocations = allocateUpTo(91)
        val credit = jobs.open.single().credit
        val cpus = credit.cpus
        assertTrue(cpus > 0, "no credit after 91 s")
        dispatch(allocations)
        assertTrue(credit.cpus < cpus, "${credit.cpus} of $cpus CPUs of credit are left")
    }

    @Test
    fun `a job whose tasks are allocated but never dispatched may use reserved capacity until all are`() {
        val allocations = allocateUpTo(61)
        val credit = jobs.open.single().credit
        assertTrue(credit.hasWaitedLong(context.now.wall))
        assertEquals(4, allocations.sumOf { it.tasks.size })
        dispatch(allocations)
        assertFalse(credit.hasWaitedLong(context.now.wall))
    }
}
