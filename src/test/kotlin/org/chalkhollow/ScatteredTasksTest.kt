package org.chalkhollow

import org.chalkhollow.core.attempts.CommandPlanner
import org.chalkhollow.core.common.Effect
import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.Priority
import org.chalkhollow.model.Resources
import org.chalkhollow.settings.StateLimits
import org.chalkhollow.simulation.RollingUpgrade
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.SimulationSize
import org.chalkhollow.simulation.asBatch
import org.chalkhollow.simulation.withReliableNetwork
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource

/**
 * Guards against an array that waits forever beside a machine with capacity: the tasks that a lost machine leaves over
 * are scattered over its indices, and the row that lists them all does not fit into one dispatch marker.
 */
class ScatteredTasksTest {
    private val currentLimits = StateLimits(80.0, 20.0, 8192, 12)
    private val nextLimits = StateLimits(80.0, 15.0, 2048, 4)

    /** A simulation of two static machines and no more. */
    private fun simulationWith(seed: Long, limits: StateLimits): Simulation {
        val size = SimulationSize(maxMachines = 2)
        val simulation = Simulation(seed, size = size, stateLimits = limits).withReliableNetwork()
        simulation.begin(0, 1, machines = 2, controllerDelayMs = LISTED_AFTER_MS)
        return simulation
    }

    /** This job as an array that two machines can just run at once; its tasks run for 10 to 30 s. */
    private fun JobSpec.asScatteredArray(tasks: Int): JobSpec {
        val cpus = TWO_MACHINES_CPUS / tasks
        val resources = Resources(cpus, 0.0, cpus)
        return asBatch("red", tasks, cpus, 20.0).copy(taskResources = resources, priority = Priority.HIGH)
    }

    /**
     * Submits an array of [tasks] tasks [fromMs] from now. When about half of its tasks are done, in no order, one of
     * the two machines is lost; the other one is idle by the time that its lease has expired.
     */
    private fun loseMachineOfArray(simulation: Simulation, tasks: Int, fromMs: Long) {
        simulation.clock.after(fromMs) { simulation.users.submit { it.asScatteredArray(tasks) } }
        simulation.clock.after(fromMs + 22_000) {
            simulation.cloud.failMachine(
                simulation.cloud.workers
                    .first()
                    .name,
            )
        }
    }

    private fun assertAllDone(simulation: Simulation, faultFreeFromMs: Long) {
        simulation.rules.faultFreeFromMs = faultFreeFromMs
        simulation.clock.runUntil(faultFreeFromMs + 120_000)
        assertEquals(emptyList<String>(), simulation.rules.violations)
        assertEquals(emptyList<String>(), simulation.rules.unfinishedJobs())
        assertEquals(1, simulation.rules.doneCount)
    }

    @ParameterizedTest
    @CsvSource("1, 3000, 2048, 4", "2, 3000, 2048, 12", "3, 1500, 1024, 4", "4, 6000, 4096, 3", "5, 12000, 8192, 12")
    fun `tasks left over by a lost machine run again however they are scattered`(
        seed: Long,
        tasks: Int,
        valueBytes: Int,
        txnOps: Int,
    ) {
        val simulation = simulationWith(seed, StateLimits(80.0, 15.0, valueBytes, txnOps))
        loseMachineOfArray(simulation, tasks, fromMs = 10_000)
        assertAllDone(simulation, faultFreeFromMs = 47_000)
    }

    @ParameterizedTest
    @ValueSource(longs = [11, 12])
    fun `tasks scattered before an upgrade run again under the smaller limits after it`(seed: Long) {
        val simulation = simulationWith(seed, currentLimits)
        val upgrade = RollingUpgrade(simulation, nextLimits, batchSize = 1)
        upgrade.begin(8000)
        simulation.clock.runUntil(85_000)
        assertTrue(upgrade.limitsLoweredAtMs < 85_000, "the limits were not lowered")
        loseMachineOfArray(simulation, tasks = 3000, fromMs = 1000)
        assertAllDone(simulation, faultFreeFromMs = 125_000)
        assertEquals(0, simulation.state.rejectedCount, "transactions exceeded the announced limits")
    }

    @Test
    fun `tasks left over by a lost machine run again under limits that were not announced`() {
        val simulation = simulationWith(21, currentLimits)
        simulation.clock.after(31_000) { simulation.state.loweredLimits = StateLimits(80.0, 15.0, 1024, 3) }
        loseMachineOfArray(simulation, tasks = 3000, fromMs = 10_000)
        assertAllDone(simulation, faultFreeFromMs = 47_000)
        assertTrue(simulation.state.rejectedCount > 0, "no marker was rejected")
    }

    // Guards against markers that are throttled forever: those of one round could be written only all at once.
    @Test
    fun `tasks left over by a lost machine run again under a write rate that was not announced`() {
        val simulation = simulationWith(22, StateLimits(80.0, 20.0, 1024, 12))
        simulation.clock.after(31_000) { simulation.state.loweredLimits = StateLimits(80.0, 6.0, 1024, 12) }
        loseMachineOfArray(simulation, tasks = 6000, fromMs = 10_000)
        assertAllDone(simulation, faultFreeFromMs = 47_000)
        assertTrue(simulation.state.throttledCount > 0, "no marker was throttled")
    }

    // PROTOCOL allows a request of 64 KiB; all starts of a machine went out in one direct command.
    @Test
    fun `direct commands and responses carry a bounded number of commands`() {
        val simulation = simulationWith(23, currentLimits)
        var most = 0
        simulation.onEffect =
            { _, _, effect -> if (effect is Effect.WorkerCommand) most = maxOf(most, effect.commands.size) }
        simulation.clock.after(10_000) { simulation.users.submit { it.asScatteredArray(3000) } }
        assertAllDone(simulation, faultFreeFromMs = 20_000)
        assertTrue(most in 100..CommandPlanner.MAX_COMMANDS, "$most commands in one request")
    }

    private companion object {
        /** A little less than the CPUs of two machines. */
        const val TWO_MACHINES_CPUS = 15.75

        /** The cloud lists machines with a delay; those listed when the first leader begins are static. */
        const val LISTED_AFTER_MS = 4000L
    }
}
