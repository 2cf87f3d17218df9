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
 * Guards against nondeterminism: a seed must always produce the same effects. The test prints the digests. Compare them
 * before and after a refactoring, which must not change them. They are not stored, since a change of behaviour changes
 * them.
 */
class EffectDigestTest {
    private fun EffectDigest.record(simulation: Simulation): Simulation = simulation.also { it.onEffect = ::add }

    /** Crashes, outages, network partitions and mass failures while batch jobs, gangs and services run. */
    private fun runWithFaults(seed: Long): EffectDigest {
        val digest = EffectDigest()
        val objectives = listOf(Objective("wait", "urgent", 4.0, 0.5), Objective("guarantee", null, 60.0, 0.9))
        val simulation =
            digest.record(
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

    /** Cancellations while the leader crashes and restarts three times. */
    private fun runWithCancellations(seed: Long): EffectDigest {
        val digest = EffectDigest()
        val scenario = FaultScenario(seed)
        digest.record(scenario.simulation)
        scenario.begin()
        scenario.at(FaultScenario.START_MS) {
            scenario.cancelRunningJobs(3)
            scenario.leader()?.let { scenario.faults.crashRepeatedly(it, 3) }
        }
        scenario.clock.runUntil(150_000)
        return digest
    }

    private fun runAll(): Map<String, EffectDigest> =
        (1L..6L).associate { "faulty day $it" to runWithFaults(it) } +
            (1L..2L).associate { "cancellations $it" to runWithCancellations(it) }

    @Test
    fun `a seed gives the same effects each time`() {
        val first = runAll()
        first.forEach { (name, digest) -> println("effects of $name: ${digest.count} ${digest.hex()}") }
        assertEquals(first.mapValues { it.value.hex() }, runAll().mapValues { it.value.hex() })
        assertEquals(
            first.size,
            first.values
                .map { it.hex() }
                .toSet()
                .size,
            "different seeds gave the same effects",
        )
        assertTrue(
            first.values.all {
                it.count > 1000
            },
            "a simulation had too few effects: ${first.mapValues { it.value.count }}",
        )
    }

    @Test
    fun `one different effect changes the digest`() {
        fun digestOf(status: Int) = EffectDigest().apply { add(1, "a", Effect.Response(1, status, byteArrayOf(1))) }
        assertEquals(digestOf(200).hex(), digestOf(200).hex())
        assertNotEquals(digestOf(200).hex(), digestOf(503).hex())
    }
}
