package org.chalkhollow

import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.simulation.DeliberateErrors
import org.chalkhollow.simulation.FaultInjection
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.runRandomScenario
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against rules that can never fail: each test introduces a fault and expects a rule to be broken. */
class RuleChecksTest {
    private fun brokenRules(makeSimulation: (Long) -> Simulation): Set<String> {
        val broken = HashSet<String>()
        for (seed in 1L..12L) {
            val simulation = makeSimulation(seed)
            try {
                runRandomScenario(simulation, faults = 14)
            } catch (expected: IllegalStateException) {
                broken.add("fake") // a fake detected a protocol violation
            }
            simulation.rules.violations.mapTo(broken) { it.substringBefore(' ') }
        }
        return broken
    }

    @Test
    fun `the rules detect a state service that ignores conditions`() {
        val broken = brokenRules { seed -> Simulation(seed).also { it.state.ignoresConditions = true } }
        assertTrue(
            broken.any { it in setOf("forgotten", "ran_twice", "went_back", "two_lead", "fake") },
            "only these rules were broken: $broken",
        )
    }

    @Test
    fun `the rules detect tasks that run twice because controllers assume too short a worker lease`() {
        val broken =
            brokenRules { seed ->
                Simulation(seed, leaseMs = 40_000, deliberateErrors = DeliberateErrors(configuredLeaseS = 3.0))
            }
        assertTrue("ran_twice" in broken, "only these rules were broken: $broken")
    }

    @Test
    fun `the rules detect late copies of heartbeats that look like new ones`() {
        val broken = HashSet<String>()
        for (seed in 1L..6L) {
            val simulation = Simulation(seed, deliberateErrors = DeliberateErrors(copiesLookNew = true))
            simulation.network.copyProbability = 0.05
            simulation.begin(40, 100_000)
            simulation.clock.runUntil(200_000)
            simulation.rules.violations.mapTo(broken) { it.substringBefore(' ') }
        }
        assertTrue("ran_twice" in broken || "quota" in broken, "only these rules were broken: $broken")
    }

    @Test
    fun `the rules detect two leaders when one controller assumes longer follower leases than the others`() {
        val broken = HashSet<String>()
        for (seed in 1L..12L) {
            val simulation =
                Simulation(
                    seed,
                    deliberateErrors = DeliberateErrors(differingOptions = OperatorSettings(followerLeaseMs = 20_000)),
                )
            simulation.begin(0, 1)
            simulation.clock.after(
                15_000,
            ) { simulation.nodes.filter { it.leads }.forEach { FaultInjection(simulation).isolate(it, 12_000, false) } }
            simulation.clock.runUntil(30_000)
            simulation.rules.violations.mapTo(broken) { it.substringBefore(' ') }
        }
        assertTrue("two_lead" in broken, "only these rules were broken: $broken")
    }

    @Test
    fun `the rules detect accepted jobs whose users get no responses`() {
        val simulation = Simulation(4)
        simulation.begin(10, 20_000)
        simulation.clock.after(25_000) { simulation.state.outage(1_000_000) }
        simulation.clock.after(30_000) { simulation.nodes.forEach { it.crash() } }
        simulation.clock.after(35_000) { simulation.nodes.forEach { it.start() } }
        simulation.rules.faultFreeFromMs = 40_000
        simulation.clock.runUntil(160_000)
        assertTrue(
            simulation.rules.violations.any { it.startsWith("forgotten") },
            "only these rules were broken: ${simulation.rules.violations}",
        )
    }

    @Test
    fun `the rules detect an exceeded quota when controllers assume too high a limit`() {
        val broken =
            brokenRules { seed ->
                Simulation(seed, deliberateErrors = DeliberateErrors(configuredLimitFactor = 2.0))
            }
        assertTrue("quota" in broken, "only these rules were broken: $broken")
    }
}
