package org.chalkhollow

import org.chalkhollow.simulation.FaultInjection
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.largeFleet
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Large jobs and fleets: the limits of the state service, and failures of many machines at once. */
class LargeFleetTest {
    // The fake of the state service checks every value's and transaction's size.
    @Test
    fun `an array of 100,000 tasks keeps to the state service's limits, also across leaders`() {
        val r = Simulation(5)
        r.begin(3, 10_000)
        r.clock.after(6000) {
            r.users.submit {
                it.copy(
                    tasks = 100_000,
                    expectedS = 0.5,
                    types = null,
                    zone = null,
                    together = false,
                    spread = false,
                    spotAllowed = true,
                )
            }
        }
        r.clock.after(40_000) { r.nodes.filter { it.leads }.forEach { it.crash() } }
        r.clock.runUntil(90_000)
        assertEquals(emptyList<String>(), r.rules.violations)
        assertTrue(r.rules.completions > 200, "only ${r.rules.completions} tasks were completed")
    }

    @Test
    fun `a day of several hundred machines and five controllers`() {
        val r = Simulation(9, controllers = 5, capacity = 380, scale = 25)
        r.network.copies = 0.005
        r.begin(20, 40_000, machines = 300)
        repeat(30) {
            r.clock.after(
                r.clock.between(0, 60_000),
            ) { r.users.submit { it.copy(tasks = it.tasks * 8, together = false) } }
        }
        FaultInjection(r).draw(12, 10_000, 80_000)
        r.clock.after(90_000) { r.network.copies = 0.0 }
        r.rules.calmFrom = 130_000
        r.clock.runUntil(220_000)
        assertEquals(emptyList<String>(), r.rules.violations)
        assertEquals(emptyList<String>(), r.rules.starved())
        assertEquals(emptyList<String>(), r.rules.pending(), "jobs without an end")
        assertTrue(r.rules.completions > 1400, "only ${r.rules.completions} tasks were completed")
    }

    @ParameterizedTest
    @ValueSource(ints = [3, 5])
    fun `mass failures of 1,600 machines break no rule and lose no job`(controllers: Int) {
        val r = largeFleet(20L + controllers, controllers, 1600)
        r.network.copies = 0.002
        r.begin(20, 60_000, machines = 800)
        repeat(800) { r.cloud.add(r.types[it % 2], r.zones[it / 2 % 2], true, 0) }
        repeat(80) {
            r.clock.after(
                r.clock.between(0, 100_000),
            ) { r.users.submit { it.copy(tasks = it.tasks * 16, together = false) } }
        }
        val faults = FaultInjection(r)
        for ((i, kind) in listOf(0, 1, 4, 2, 3, 6, 5, 4).withIndex()) {
            r.clock.after(12_000L + i * 13_000) {
                faults.mass(kind)
            }
        }
        r.clock.after(150_000) { r.network.copies = 0.0 }
        r.rules.calmFrom = 190_000
        r.clock.runUntil(280_000)
        assertEquals(emptyList<String>(), r.rules.violations)
        assertEquals(emptyList<String>(), r.rules.starved())
        assertTrue(r.rules.completions > 5000, "only ${r.rules.completions} tasks were completed")
    }
}
