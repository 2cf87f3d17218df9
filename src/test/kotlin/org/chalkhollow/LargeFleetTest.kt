package org.chalkhollow

import org.chalkhollow.simulation.FaultInjection
import org.chalkhollow.simulation.MassFault
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.SimulationSize
import org.chalkhollow.simulation.anywhere
import org.chalkhollow.simulation.largeFleet
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/**
 * Guards against large jobs that exceed the limits of the state service, and against broken rules and lost jobs when
 * many machines fail at once.
 */
class LargeFleetTest {
    // The fake state service checks the size of every value and transaction.
    @Test
    fun `an array of 100,000 tasks stays within the state service's limits, also when the leader changes`() {
        val simulation = Simulation(5)
        simulation.begin(3, 10_000)
        simulation.clock.after(6000) {
            simulation.users.submit {
                it.anywhere().copy(
                    tasks = 100_000,
                    expectedS = 0.5,
                )
            }
        }
        simulation.clock.after(40_000) { simulation.nodes.filter { it.leads }.forEach { it.crash() } }
        simulation.clock.runUntil(90_000)
        assertEquals(emptyList<String>(), simulation.rules.violations)
        assertTrue(
            simulation.rules.completedTaskCount > 200,
            "only ${simulation.rules.completedTaskCount} tasks were completed",
        )
    }

    @Test
    fun `five controllers with several hundred machines break no rule and lose no job`() {
        val simulation = Simulation(9, size = SimulationSize(controllers = 5, maxMachines = 380, limitFactor = 25))
        simulation.network.copyProbability = 0.005
        simulation.begin(20, 40_000, machines = 300)
        repeat(30) {
            simulation.clock.after(
                simulation.clock.between(0, 60_000),
            ) { simulation.users.submit { it.copy(tasks = it.tasks * 8, together = false) } }
        }
        FaultInjection(simulation).injectRandom(12, 10_000, 80_000)
        simulation.clock.after(90_000) { simulation.network.copyProbability = 0.0 }
        simulation.rules.faultFreeFromMs = 130_000
        simulation.clock.runUntil(220_000)
        assertEquals(emptyList<String>(), simulation.rules.violations)
        assertEquals(emptyList<String>(), simulation.rules.starved())
        assertEquals(emptyList<String>(), simulation.rules.unfinishedJobs(), "jobs that did not end")
        assertTrue(
            simulation.rules.completedTaskCount > 1400,
            "only ${simulation.rules.completedTaskCount} tasks were completed",
        )
    }

    @ParameterizedTest
    @ValueSource(ints = [3, 5])
    fun `mass failures of 1,600 machines break no rule and lose no job`(controllers: Int) {
        val simulation = largeFleet(20L + controllers, controllers, 1600)
        simulation.network.copyProbability = 0.002
        simulation.begin(20, 60_000, machines = 800)
        repeat(800) { simulation.cloud.add(simulation.types[it % 2], simulation.zones[it / 2 % 2], true, 0) }
        repeat(80) {
            simulation.clock.after(
                simulation.clock.between(0, 100_000),
            ) { simulation.users.submit { it.copy(tasks = it.tasks * 16, together = false) } }
        }
        val faults = FaultInjection(simulation)
        val massFaults =
            listOf(
                MassFault.MACHINES_FAIL,
                MassFault.MACHINES_HANG,
                MassFault.CONTROLLERS_RESTART,
                MassFault.SPOT_MACHINES_TERMINATED,
                MassFault.ZONE_CUT_OFF,
                MassFault.LEADER_CUT_FROM_MACHINES,
                MassFault.ROLLING_RESTART,
                MassFault.CONTROLLERS_RESTART,
            )
        for ((i, kind) in massFaults.withIndex()) {
            simulation.clock.after(12_000L + i * 13_000) {
                faults.injectMassFault(kind)
            }
        }
        simulation.clock.after(150_000) { simulation.network.copyProbability = 0.0 }
        simulation.rules.faultFreeFromMs = 190_000
        simulation.clock.runUntil(280_000)
        assertEquals(emptyList<String>(), simulation.rules.violations)
        assertEquals(emptyList<String>(), simulation.rules.starved())
        assertTrue(
            simulation.rules.completedTaskCount > 5000,
            "only ${simulation.rules.completedTaskCount} tasks were completed",
        )
    }
}
