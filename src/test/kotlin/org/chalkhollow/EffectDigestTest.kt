package org.chalkhollow

import org.chalkhollow.core.common.Effect
import org.chalkhollow.settings.Objective
import org.chalkhollow.simulation.EffectDigest
import org.chalkhollow.simulation.FaultInjection
import org.chalkhollow.simulation.FaultScenario
import org.chalkhollow.simulation.MassFault
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.SimulationSize
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * One seed gives one day, to the last effect. The digests are printed: a change of structure alone leaves them as they
 * were, so compare what is printed before and after it. They are not recorded, since a change of behaviour changes
 * them.
 */
class EffectDigestTest {
    private fun EffectDigest.watch(simulation: Simulation): Simulation = simulation.also { it.onEffect = ::add }

    /** Crashes, outages, cuts and mass losses over batch jobs, gangs, services and cancellations. */
    private fun dayWithFaults(seed: Long): EffectDigest {
        val digest = EffectDigest()
        val objectives = listOf(Objective("wait", "urgent", 4.0, 0.5), Objective("guarantee", null, 60.0, 0.9))
        val simulation =
            digest.watch(
                Simulation(
                    seed,
                    size = SimulationSize(controllers = if (seed % 2 == 0L) 5 else 3),
                    objectives = objectives,
                ),
            )
        simulation.network.copyProbability = 0.01
        simulation.begin(60, 150_000)
        repeat(4) { i -> simulation.clock.after(20_000L + 30_000 * i) { simulation.users.submitService() } }
        FaultInjection(simulation).apply {
            injectRandom(12, 30_000, 170_000)
            simulation.clock.after(90_000) { injectMassFault(MassFault.entries[(seed % 7).toInt()]) }
        }
        simulation.clock.runUntil(300_000)
        return digest
    }

    /** Cancellations while the leader is cut off and ends. */
    private fun cancellations(seed: Long): EffectDigest {
        val digest = EffectDigest()
        val scenario = FaultScenario(seed)
        digest.watch(scenario.simulation)
        scenario.begin()
        scenario.at(FaultScenario.START_MS) {
            scenario.cancelRunningJobs(3)
            scenario.leader()?.let { scenario.faults.crashRepeatedly(it, 3) }
        }
        scenario.clock.runUntil(150_000)
        return digest
    }

    private fun all(): Map<String, EffectDigest> =
        (1L..6L).associate { "faulty day $it" to dayWithFaults(it) } +
            (1L..2L).associate { "cancellations $it" to cancellations(it) }

    @Test
    fun `one seed gives the same effects each time`() {
        val first = all()
        first.forEach { (name, digest) -> println("effects of $name: ${digest.count} ${digest.hex()}") }
        assertEquals(first.mapValues { it.value.hex() }, all().mapValues { it.value.hex() })
        assertEquals(
            first.size,
            first.values
                .map { it.hex() }
                .toSet()
                .size,
            "days of different seeds are alike",
        )
        assertTrue(first.values.all { it.count > 1000 }, "a day without effects: ${first.mapValues { it.value.count }}")
    }

    @Test
    fun `one effect that differs changes the digest`() {
        fun digest(status: Int) = EffectDigest().apply { add(1, "a", Effect.Response(1, status, byteArrayOf(1))) }
        assertEquals(digest(200).hex(), digest(200).hex())
        assertNotEquals(digest(200).hex(), digest(503).hex())
    }
}
