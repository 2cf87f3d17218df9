package org.chalkhollow

import org.chalkhollow.model.MachineType
import org.chalkhollow.model.Resources
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.simulation.DeliberateErrors
import org.chalkhollow.simulation.FaultScenario
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.anywhere
import org.chalkhollow.simulation.withReliableNetwork
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Guards against rules that can never fail: each test introduces a fault and expects the rule that covers it to be
 * broken.
 */
class ConcurrentFaultChecksTest {
    private fun brokenRules(simulation: Simulation): Set<String> =
        simulation.rules.violations.mapTo(HashSet()) { it.substringBefore(' ') }

    private fun makeNetworkReliable(simulation: Simulation) {
        simulation.withReliableNetwork()
    }

    @Test
    fun `the rules detect a task that stays pending although a machine has free capacity`() {
        fun brokenRulesWith(limitFactor: Double): Set<String> {
            val simulation =
                Simulation(
                    3,
                    OperatorSettings(maxIdleS = 900.0),
                    deliberateErrors = DeliberateErrors(configuredLimitFactor = limitFactor),
                )
            makeNetworkReliable(simulation)
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
            simulation.rules.faultFreeFromMs = 20_000
            simulation.clock.runUntil(150_000)
            return brokenRules(simulation)
        }
        assertEquals(emptySet<String>(), brokenRulesWith(1.0))
        assertEquals(setOf("left_waiting"), brokenRulesWith(0.2))
    }

    @Test
    fun `the rules detect an accepted job that fits no machine`() {
        fun brokenRulesWith(phantomType: MachineType?): Set<String> {
            val simulation = Simulation(5, deliberateErrors = DeliberateErrors(nonexistentType = phantomType))
            makeNetworkReliable(simulation)
            simulation.begin(0, 1)
            repeat(10) { i -> simulation.clock.after(10_000L + i * 100) { simulation.users.submitTooLargeJob() } }
            simulation.clock.runUntil(20_000)
            return brokenRules(simulation)
        }
        assertEquals(emptySet<String>(), brokenRulesWith(null))
        val phantomType = MachineType("phantom", Resources(40.0, 0.0, 64.0), 1.0, 20.0, 9.0, 9.0, 5.0, listOf("east"))
        assertEquals(setOf("accepted_unfit"), brokenRulesWith(phantomType))
    }

    @Test
    fun `the rules detect at once a start that was sent after a confirmed cancellation`() {
        val scenario = FaultScenario(7)
        makeNetworkReliable(scenario.simulation)
        scenario.begin(jobs = 0, longJobs = 2)
        scenario.at(20_000) { scenario.cancel(scenario.longJobs.first()) }
        scenario.clock.runUntil(24_000)
        assertEquals(1, scenario.rules.cancelledCount)
        assertEquals(emptySet<String>(), brokenRules(scenario.simulation))
        val machine =
            scenario.cloud.workers
                .first { it.present }
        machine.blockConnections(5000) // otherwise the leader stops the task while it fetches its image
        machine.startUnrequested(scenario.longJobs.first())
        scenario.clock.runUntil(28_500)
        assertEquals(setOf("ran_cancelled"), brokenRules(scenario.simulation))
    }

    @Test
    fun `the rules detect a state service that applies late writes without checking their conditions`() {
        val brokenRules = HashSet<String>()
        for (seed in 1L..6L) {
            val scenario = FaultScenario(seed)
            scenario.state.ignoresConditions = true
            scenario.begin()
            scenario.at(FaultScenario.START_MS) { scenario.state.delayCommits(0.4, 40_000) }
            try {
                scenario.clock.runUntil(120_000)
            } catch (expected: IllegalStateException) {
                brokenRules.add("fake") // a fake detected a protocol violation
            }
            brokenRules.addAll(brokenRules(scenario.simulation))
        }
        assertTrue(
            brokenRules.any { it in setOf("forgotten", "ran_twice", "went_back", "two_lead", "ran_cancelled") },
            "none of these rules was broken, only $brokenRules",
        )
    }

    @Test
    fun `the rules detect a cancellation without a response`() {
        val scenario = FaultScenario(8)
        makeNetworkReliable(scenario.simulation)
        scenario.begin(jobs = 0, longJobs = 2)
        scenario.at(20_000) { scenario.state.outage(1_000_000) }
        scenario.at(25_000) { scenario.cancel(scenario.longJobs.first()) }
        scenario.rules.faultFreeFromMs = 30_000
        scenario.clock.runUntil(110_000)
        assertTrue(
            scenario.rules.violations
                .any { "its cancellation was not answered" in it },
            "the missing response was not detected: ${scenario.rules.violations}",
        )
    }
}
