package org.chalkhollow

import org.chalkhollow.simulation.FaultInjection
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.SimulationSize
import org.chalkhollow.simulation.runRandomScenario
import org.chalkhollow.simulation.withReliableNetwork
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/**
 * Guards against rules that break when random faults meet random jobs. Each simulated day runs in virtual time, and
 * every rule is checked after each step.
 */
class RandomFaultsTest {
    @Test
    fun `a day without faults completes its jobs`() {
        val simulation = Simulation(1)
        simulation.withReliableNetwork()
        runRandomScenario(simulation, faults = 0)
        assertEquals(emptyList<String>(), simulation.rules.violations)
        assertEquals(40, simulation.rules.acceptedCount)
        assertTrue(simulation.rules.doneCount >= 30, "only ${simulation.rules.doneCount} jobs were reported as done")
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20])
    fun `a day with faults breaks no rule and completes most jobs`(seed: Long) {
        val simulation =
            runRandomScenario(
                Simulation(
                    seed,
                    size =
                        SimulationSize(
                            controllers =
                                if (seed % 3 ==
                                    0L
                                ) {
                                    5
                                } else {
                                    3
                                },
                        ),
                ),
                faults = 14,
            )
        assertEquals(emptyList<String>(), simulation.rules.violations)
        assertEquals(emptyList<String>(), simulation.rules.starved())
        assertTrue(simulation.rules.acceptedCount >= 36, "only ${simulation.rules.acceptedCount} jobs were accepted")
        assertTrue(simulation.rules.doneCount >= 30, "only ${simulation.rules.doneCount} jobs were reported as done")
    }

    /**
     * Seeds that broke a rule in earlier versions. In 1453 and 1507 a new leader did not count tasks of a cancelled job
     * against the team's limit while they were still on machines.
     */
    @ParameterizedTest
    @ValueSource(longs = [1018, 1453, 1507])
    fun `days that broke a rule in earlier versions break none`(seed: Long) {
        val simulation = Simulation(seed)
        simulation.network.lossProbability = 0.005
        simulation.network.lateProbability = 0.005
        simulation.begin(50, 150_000)
        FaultInjection(simulation).injectRandom(25, 10_000, 200_000)
        simulation.clock.runUntil(500_000)
        assertEquals(emptyList<String>(), simulation.rules.violations)
    }

    @Test
    fun `the same seed gives the same day`() {
        val a = runRandomScenario(Simulation(77), faults = 10)
        val b = runRandomScenario(Simulation(77), faults = 10)
        assertEquals(a.rules.starts to a.rules.completedTaskCount, b.rules.starts to b.rules.completedTaskCount)
    }
}
