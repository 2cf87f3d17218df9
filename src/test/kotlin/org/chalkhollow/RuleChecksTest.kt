package org.chalkhollow

import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.simulation.FaultInjection
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.playRandomDay
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The rules can fail: each test breaks one guard and must see a rule broken. */
class RuleChecksTest {
    private fun violations(make: (Long) -> Simulation): Set<String> {
        val seen = HashSet<String>()
        for (seed in 1L..12L) {
            val r = make(seed)
            try {
                playRandomDay(r, faults = 14)
            } catch (expected: IllegalStateException) {
                seen.add("fake") // a fake found its protocol broken
            }
            r.rules.violations.mapTo(seen) { it.substringBefore(' ') }
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
        val seen = violations { seed -> Simulation(seed, leaseMs = 40_000, toldLeaseS = 3.0) }
        assertTrue("ran_twice" in seen, "only $seen")
    }

    @Test
    fun `late copies of reports that pass for new ones are noticed`() {
        val seen = HashSet<String>()
        for (seed in 1L..6L) {
            val r = Simulation(seed, copiesLookNew = true)
            r.network.copies = 0.05
            r.begin(40, 100_000)
            r.clock.runUntil(200_000)
            r.rules.violations.mapTo(seen) { it.substringBefore(' ') }
        }
        assertTrue("ran_twice" in seen || "quota" in seen, "only $seen")
    }

    @Test
    fun `a controller that takes promises for longer than they hold makes two leaders`() {
        val seen = HashSet<String>()
        for (seed in 1L..12L) {
            val r = Simulation(seed, oddOptions = OperatorSettings(followerLeaseMs = 20_000))
            r.begin(0, 1)
            r.clock.after(
                15_000,
            ) { r.nodes.filter { it.leads }.forEach { FaultInjection(r).isolate(it, 12_000, false) } }
            r.clock.runUntil(30_000)
            r.rules.violations.mapTo(seen) { it.substringBefore(' ') }
        }
        assertTrue("two_lead" in seen, "only $seen")
    }

    @Test
    fun `a job that nobody answers for is noticed`() {
        val r = Simulation(4)
        r.begin(10, 20_000)
        r.clock.after(25_000) { r.state.outage(1_000_000) }
        r.clock.after(30_000) { r.nodes.forEach { it.crash() } }
        r.clock.after(35_000) { r.nodes.forEach { it.start() } }
        r.rules.calmFrom = 40_000
        r.clock.runUntil(160_000)
        assertTrue(r.rules.violations.any { it.startsWith("forgotten") }, "only ${r.rules.violations}")
    }

    @Test
    fun `a limit taken for higher than it is breaks the quota`() {
        val seen = violations { seed -> Simulation(seed, toldLimitFactor = 2.0) }
        assertTrue("quota" in seen, "only $seen")
    }
}
