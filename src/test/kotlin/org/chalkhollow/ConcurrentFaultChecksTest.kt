package org.chalkhollow

import org.chalkhollow.model.MachineType
import org.chalkhollow.model.Resources
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.simulation.FaultScenario
import org.chalkhollow.simulation.Sabotage
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.anywhere
import org.chalkhollow.simulation.withReliableNetwork
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The checks behind the tests of concurrent faults can fail: each test breaks a guard and sees its rule broken. */
class ConcurrentFaultChecksTest {
    private fun rules(simulation: Simulation): Set<String> =
        simulation.rules.violations.mapTo(HashSet()) { it.substringBefore(' ') }

    private fun quiet(simulation: Simulation) {
        simulation.withReliableNetwork()
    }

    @Test
    fun `work that waits though there is room is noticed`() {
        fun played(factor: Double): Set<String> {
            val simulation =
                Simulation(3, OperatorSettings(maxIdleS = 900.0), sabotage = Sabotage(toldLimitFactor = factor))
            quiet(simulation)
            simulation.begin(0, 1)
            simulation.clock.after(8000) {
                simulation.users.submit {
                    it.anywhere().copy(
                        team = "red",
                        tasks = 8,
                        taskResources = Resources(2.0, 0.0, 1.0),
                        expectedS = 400.0,
                    )
                }
            }
            simulation.rules.calmFrom = 20_000
            simulation.clock.runUntil(150_000)
            return rules(simulation)
        }
        assertEquals(emptySet<String>(), played(1.0))
        assertEquals(setOf("left_waiting"), played(0.2))
    }

    @Test
    fun `a job that fits no machine and is accepted is noticed`() {
        fun played(phantom: MachineType?): Set<String> {
            val simulation = Simulation(5, sabotage = Sabotage(phantomType = phantom))
            quiet(simulation)
            simulation.begin(0, 1)
            repeat(10) { i -> simulation.clock.after(10_000L + i * 100) { simulation.users.submitUnfit() } }
            simulation.clock.runUntil(20_000)
            return rules(simulation)
        }
        assertEquals(emptySet<String>(), played(null))
        val phantom = MachineType("phantom", Resources(40.0, 0.0, 64.0), 1.0, 20.0, 9.0, 9.0, 5.0, listOf("east"))
        assertEquals(setOf("accepted_unfit"), played(phantom))
    }

    @Test
    fun `a start that is sent after a confirmed cancellation is noticed at once`() {
        val scenario = FaultScenario(7)
        quiet(scenario.simulation)
        scenario.begin(jobs = 0, long = 2)
        scenario.at(20_000) { scenario.cancel(scenario.long.first()) }
        scenario.clock.runUntil(24_000)
        assertEquals(1, scenario.rules.cancelledCount)
        assertEquals(emptySet<String>(), rules(scenario.simulation))
        val machine =
            scenario.cloud.workers
                .first { it.present }
        machine.mute(5000) // or the leader would stop the task before it has its image
        machine.startUnasked(scenario.long.first())
        scenario.clock.runUntil(28_500)
        assertEquals(setOf("ran_cancelled"), rules(scenario.simulation))
    }

    @Test
    fun `a state service that carries late writes out whatever stands there is noticed`() {
        val seen = HashSet<String>()
        for (seed in 1L..6L) {
            val scenario = FaultScenario(seed)
            scenario.state.ignoresConditions = true
            scenario.begin()
            scenario.at(FaultScenario.START_MS) { scenario.state.lateWrites(0.4, 40_000) }
            try {
                scenario.clock.runUntil(120_000)
            } catch (expected: IllegalStateException) {
                seen.add("fake") // a fake found its protocol broken
            }
            seen.addAll(rules(scenario.simulation))
        }
        assertTrue(
            seen.any { it in setOf("forgotten", "ran_twice", "went_back", "two_lead", "ran_cancelled") },
            "only $seen",
        )
    }

    @Test
    fun `a cancellation that nobody answers is noticed`() {
        val scenario = FaultScenario(8)
        quiet(scenario.simulation)
        scenario.begin(jobs = 0, long = 2)
        scenario.at(20_000) { scenario.state.outage(1_000_000) }
        scenario.at(25_000) { scenario.cancel(scenario.long.first()) }
        scenario.rules.calmFrom = 30_000
        scenario.clock.runUntil(110_000)
        assertTrue(
            scenario.rules.violations
                .any { "its cancellation was not answered" in it },
            "only ${scenario.rules.violations}",
        )
    }
}
