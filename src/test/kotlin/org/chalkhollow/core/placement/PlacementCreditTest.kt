package org.chalkhollow.core.placement

import org.chalkhollow.core.acceptDurably
import org.chalkhollow.core.attempts.Allocation
import org.chalkhollow.core.attempts.AttemptReconciler
import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.common.CloudOp
import org.chalkhollow.core.common.CloudReply
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.Input
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.fleet.StaticMachines
import org.chalkhollow.core.jobSpec
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.core.jobs.Quotas
import org.chalkhollow.core.jobs.ServiceLevelObjectives
import org.chalkhollow.model.MachineType
import org.chalkhollow.model.Resources
import org.chalkhollow.model.Team
import org.chalkhollow.model.WorkerHeartbeat
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.simulation.Simulation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Guards against a job that starves unnoticed: tasks that were allocated in each round and never dispatched counted as
 * placed, so that the job got no credit and could not use reserved capacity.
 */
class PlacementCreditTest {
    private val context = CoreContext(1).also { it.now = Now(0, 0) }
    private val settings = Simulation(1).settings
    private val options = OperatorSettings(maxPassedOverS = 90.0)
    private val names = Interners().apply { teams.intern("t") }
    private val jobs = JobTable(context, names, settings.stateLimits)
    private val quotas = Quotas(listOf(Team("t", 8.0, 8.0, 0.0, 0.0)))
    private val reconciler = AttemptReconciler(context, jobs, quotas) { 1 }
    private val staticMachines = StaticMachines(context, settings.stateLimits)
    private val fleet = Fleet(context, names, settings, options, "a", staticMachines)
    private val objectives = ServiceLevelObjectives(emptyList(), fleet::minBootMs)
    private val placement = Placement(context, jobs, quotas, reconciler, fleet, options, objectives)

    init {
        fleet.tick(leading = false, unplaced = emptyList(), mayScaleOut = false)
        val request = context.drain().filterIsInstance<Effect.Cloud>().single { it.op == CloudOp.Catalog }
        val small = MachineType("small", Resources(8.0, 0.0, 64.0), 1.0, 20.0, 0.5, 0.2, 5.0, listOf("east"))
        context.reply(Input.Cloud(request.ticket, CloudReply.Catalog(listOf(small))))
    }

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
