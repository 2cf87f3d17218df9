package org.chalkhollow

import org.chalkhollow.rehearsal.Rehearsal
import org.chalkhollow.rehearsal.Troubles
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Whole days of three controllers on virtual time, every rule checked after each step. */
class RandomRunsTest {
    private fun day(r: Rehearsal, troubles: Int, jobs: Int = 40): Rehearsal {
        r.begin(jobs, 150_000)
        Troubles(r).draw(troubles, 10_000, 170_000)
        r.world.runUntil(420_000)
        return r
    }

    @Test
    fun `a quiet day completes every job`() {
        val r = Rehearsal(1)
        r.network.loss = 0.0
        r.network.late = 0.0
        day(r, troubles = 0)
        assertEquals(emptyList<String>(), r.rules.violations)
        assertEquals(40, r.rules.acceptedCount)
        assertTrue(r.rules.doneCount >= 30, "only ${r.rules.doneCount} jobs were told to be done")
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20])
    fun `a troubled day breaks no rule and still gets work done`(seed: Long) {
        val r = day(Rehearsal(seed), troubles = 14)
        assertEquals(emptyList<String>(), r.rules.violations)
        assertTrue(r.rules.acceptedCount >= 36, "only ${r.rules.acceptedCount} jobs were accepted")
        assertTrue(r.rules.doneCount >= 30, "only ${r.rules.doneCount} jobs were told to be done")
    }

    // 1453 and 1507: a new leader did not count the tasks of a cancelled job that were still on machines against the limit.
    @ParameterizedTest
    @ValueSource(longs = [1018, 1453, 1507])
    fun `days that once broke a rule`(seed: Long) {
        val r = Rehearsal(seed)
        r.network.loss = 0.005
        r.network.late = 0.005
        r.begin(50, 150_000)
        Troubles(r).draw(25, 10_000, 200_000)
        r.world.runUntil(500_000)
        assertEquals(emptyList<String>(), r.rules.violations)
    }

    @Test
    fun `the same seed gives the same day`() {
        val a = day(Rehearsal(77), troubles = 10)
        val b = day(Rehearsal(77), troubles = 10)
        assertEquals(a.rules.starts to a.rules.completions, b.rules.starts to b.rules.completions)
    }

    // The stand-in for the state service checks every value's and transaction's size.
    @Test
    fun `an array of 100,000 tasks keeps to the state service's limits, also across leaders`() {
        val r = Rehearsal(5)
        r.begin(3, 10_000)
        r.world.after(6000) {
            r.users.submit { it.copy(tasks = 100_000, expectedS = 0.5, types = null, zone = null, together = false, spread = false, spotAllowed = true) }
        }
        r.world.after(40_000) { r.nodes.filter { it.leads }.forEach { it.crash() } }
        r.world.runUntil(90_000)
        assertEquals(emptyList<String>(), r.rules.violations)
        assertTrue(r.rules.completions > 200, "only ${r.rules.completions} tasks were completed")
    }

    // The checks can fail: each test below breaks one guard and must see a rule broken.

    private fun violations(make: (Long) -> Rehearsal): Set<String> {
        val seen = HashSet<String>()
        for (seed in 1L..12L) day(make(seed), troubles = 14).rules.violations.mapTo(seen) { it.substringBefore(' ') }
        return seen
    }

    @Test
    fun `a state service that ignores conditions is noticed`() {
        val seen = violations { seed -> Rehearsal(seed).also { it.state.ignoresConditions = true } }
        assertTrue("forgotten" in seen || "ran_twice" in seen || "went_back" in seen, "only $seen")
    }

    @Test
    fun `a lease taken for shorter than it is makes tasks run twice`() {
        val seen = violations { seed -> Rehearsal(seed, leaseMs = 40_000, toldLeaseS = 3.0) }
        assertTrue("ran_twice" in seen, "only $seen")
    }

    @Test
    fun `a limit taken for higher than it is breaks the quota`() {
        val seen = violations { seed -> Rehearsal(seed, toldLimitFactor = 2.0) }
        assertTrue("quota" in seen, "only $seen")
    }
}
