package org.chalkhollow

import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.simulation.DeliberateErrors
import org.chalkhollow.simulation.FaultInjection
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.runRandomScenario
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The rules can fail: each test breaks one guard and must see a rule broken. */
class RuleChecksTest {
    private fun violations(make: (Long) -> Simulation): Set<String> {
        val seen = HashSet<String>()
        for (seed in 1L..12L) {
            val simulation = make(seed)
            try {
                runRandomScenario(simulation, faults = 14)
            } catch (expected: IllegalStateException) {
                seen.add("fake") // a fake found its protocol broken
            }
            simulation.rules.violations.mapTo(seen) { it.substringBefore(' ') }
        }
        return seen
    }

    @Test
    fun `a state service that ignores conditions is noticed`() {
        val seen = violations { seed -> Simulation(seed).also { it.state.ignoresConditions = true } }
        assertTrue(seen.any { it in setOf("forgotten", "ran_twice", "went_back", "two_lead", "fake") }, "only $seen")
    }

    @Test
    fun `a lease taken for shorter than it is makes tasks run twice`() {
        val seen =
            violations { seed ->
                Simulation(seed, leaseMs = 40_000, deliberateErrors = DeliberateErrors(configuredLeaseS = 3.0))
            }
        assertTrue("ran_twice" in seen, "only $seen")
    }

    @Test
    fun `late copies of heartbeats that pass for new ones are noticed`() {
        val seen = HashSet<String>()
        for (seed in 1L..6L) {
            val simulation = Simulation(seed, deliberateErrors = DeliberateErrors(copiesLookNew = true))
            simulation.network.copyProbability = 0.05
            simulation.begin(40, 100_000)
            simulation.clock.runUntil(200_000)
            simulation.rules.violations.mapTo(seen) { it.substringBefore(' ') }
        }
        assertTrue("ran_twice" in seen || "quota" in seen, "only $seen")
    }

    @Test
    fun `a controller that takes follower leases for longer than they hold makes two leaders`() {
        val seen = HashSet<String>()
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
            simulation.rules.violations.mapTo(seen) { it.substringBefore(' ') }
        }
        assertTrue("two_lead" in seen, "only $seen")
    }

    @Test
    fun `a job that nobody answers for is noticed`() {
        val simulation = Simulation(4)
        simulation.begin(10, 20_000)
        simulation.clock.after(25_000) { simulation.state.outage(1_000_000) }
        simulation.clock.after(30_000) { simulation.nodes.forEach { it.crash() } }
        simulation.clock.after(35_000) { simulation.nodes.forEach { it.start() } }
        simulation.rules.faultFreeFromMs = 40_000
        simulation.clock.runUntil(160_000)
        assertTrue(
            simulation.rules.violations.any { it.startsWith("forgotten") },
            "only ${simulation.rules.violations}",
        )
    }

    @Test
    fun `a limit taken for higher than it is breaks the quota`() {
        val seen =
            violations { seed ->
                Simulation(seed, deliberateErrors = DeliberateErrors(configuredLimitFactor = 2.0))
            }
        assertTrue("quota" in seen, "only $seen")
    }
}
