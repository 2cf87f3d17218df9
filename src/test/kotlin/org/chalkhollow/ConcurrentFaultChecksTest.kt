package org.chalkhollow

import org.chalkhollow.model.MachineType
import org.chalkhollow.model.Resources
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.simulation.FaultScenario
import org.chalkhollow.simulation.Simulation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The checks behind the tests of concurrent faults can fail: each test breaks a guard and sees its rule broken. */
class ConcurrentFaultChecksTest {
    private fun rules(r: Simulation): Set<String> = r.rules.violations.mapTo(HashSet()) { it.substringBefore(' ') }

    private fun quiet(r: Simulation) {
        r.network.loss = 0.0
        r.network.late = 0.0
    }

    @Test
    fun `work that waits though there is room is noticed`() {
        fun played(factor: Double): Set<String> {
            val r = Simulation(3, OperatorSettings(idleReturnS = 900.0), toldLimitFactor = factor)
            quiet(r)
            r.begin(0, 1)
            r.clock.after(8000) {
                r.users.submit {
                    it.copy(
                        team = "red",
                        tasks = 8,
                        taskResources = Resources(2.0, 0.0, 1.0),
                        types = null,
                        zone = null,
                        together = false,
                        spread = false,
                        spotAllowed = true,
                        expectedS = 400.0,
                    )
                }
            }
            r.rules.calmFrom = 20_000
            r.clock.runUntil(150_000)
            return rules(r)
        }
        assertEquals(emptySet<String>(), played(1.0))
        assertEquals(setOf("left_waiting"), played(0.2))
    }

    @Test
    fun `a job that fits no machine and is accepted is noticed`() {
        fun played(phantom: MachineType?): Set<String> {
            val r = Simulation(5, phantomType = phantom)
            quiet(r)
            r.begin(0, 1)
            repeat(10) { i -> r.clock.after(10_000L + i * 100) { r.users.submitUnfit() } }
            r.clock.runUntil(20_000)
            return rules(r)
        }
        assertEquals(emptySet<String>(), played(null))
        val phantom = MachineType("phantom", Resources(40.0, 0.0, 64.0), 1.0, 20.0, 9.0, 9.0, 5.0, listOf("east"))
        assertEquals(setOf("accepted_unfit"), played(phantom))
    }

    @Test
    fun `a start that is sent after a confirmed cancellation is noticed at once`() {
        val s = FaultScenario(7)
        quiet(s.r)
        s.begin(jobs = 0, long = 2)
        s.at(20_000) { s.cancel(s.long.first()) }
        s.clock.runUntil(24_000)
        assertEquals(1, s.r.rules.cancelledCount)
        assertEquals(emptySet<String>(), rules(s.r))
        val machine =
            s.r.cloud.workers
                .first { it.present }
        machine.mute(5000) // or the leader would stop the task before it has its image
        machine.startUnasked(s.long.first())
        s.clock.runUntil(28_500)
        assertEquals(setOf("ran_cancelled"), rules(s.r))
    }

    @Test
    fun `a state service that carries late writes out whatever stands there is noticed`() {
        val seen = HashSet<String>()
        for (seed in 1L..6L) {
            val s = FaultScenario(seed)
            s.r.state.ignoresConditions = true
            s.begin()
            s.at(FaultScenario.START_MS) { s.r.state.lateWrites(0.4, 40_000) }
            try {
                s.clock.runUntil(120_000)
            } catch (e: IllegalStateException) {
                seen.add("fake") // a fake found its protocol broken
            }
            seen.addAll(rules(s.r))
        }
        assertTrue(
            seen.any { it in setOf("forgotten", "ran_twice", "went_back", "two_lead", "ran_cancelled") },
            "only $seen",
        )
    }

    @Test
    fun `a cancellation that nobody answers is noticed`() {
        val s = FaultScenario(8)
        quiet(s.r)
        s.begin(jobs = 0, long = 2)
        s.at(20_000) { s.r.state.outage(1_000_000) }
        s.at(25_000) { s.cancel(s.long.first()) }
        s.r.rules.calmFrom = 30_000
        s.clock.runUntil(110_000)
        assertTrue(
            s.r.rules.violations
                .any { "its cancellation was not answered" in it },
            "only ${s.r.rules.violations}",
        )
    }
}
