package org.chalkhollow

import org.chalkhollow.core.jobs.JobRecord
import org.chalkhollow.core.jobs.ProgressPageRecord
import org.chalkhollow.model.Resources
import org.chalkhollow.settings.StateLimits
import org.chalkhollow.simulation.FaultInjection
import org.chalkhollow.simulation.RollingUpgrade
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.SimulationSize
import org.chalkhollow.simulation.anywhere
import org.chalkhollow.wire.Fields
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.util.Base64
import java.util.BitSet

/**
 * Days on which the version in production is replaced by this one, a few controllers at a time, and the limits fall
 * after.
 */
class RollingUpgradeTest {
    private val now = StateLimits(80.0, 20.0, 8192, 12)
    private val next = StateLimits(40.0, 12.0, 2048, 6)

    private fun day(simulation: Simulation, upgrade: RollingUpgrade, faults: Int): Simulation {
        if (faults > 0) simulation.network.copyProbability = 0.01
        simulation.begin(40, 180_000)
        upgrade.begin(30_000)
        FaultInjection(simulation).injectRandom(faults, 10_000, 170_000)
        simulation.clock.after(210_000) { simulation.network.copyProbability = 0.0 }
        simulation.rules.faultFreeFromMs = 260_000
        simulation.clock.runUntil(480_000)
        return simulation
    }

    private fun served(simulation: Simulation, upgrade: RollingUpgrade) {
        assertEquals(emptyList<String>(), simulation.rules.violations)
        assertEquals(emptyList<String>(), simulation.rules.starved())
        assertTrue(simulation.rules.acceptedCount >= 36, "only ${simulation.rules.acceptedCount} jobs were accepted")
        assertTrue(simulation.rules.doneCount >= 30, "only ${simulation.rules.doneCount} jobs were told to be done")
        assertTrue(upgrade.limitsLoweredAtMs < 240_000, "the limits were not lowered")
        for (node in simulation.nodes) {
            assertEquals(
                true,
                node.status()?.allNew,
                "${node.label} does not know that all are new",
            )
        }
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12])
    fun `an upgrade amid faults breaks no rule, serves every job, and exceeds no lowered limit`(seed: Long) {
        val simulation =
            Simulation(
                seed,
                size =
                    SimulationSize(
                        controllers =
                            if (seed % 3 ==
                                0L
                            ) {
                                5
                            } else {
                                3
                            },
                    ),
                stateLimits = now,
            )
        val upgrade = RollingUpgrade(simulation, next, batchSize = 1 + (seed % 2).toInt())
        day(simulation, upgrade, faults = 12)
        served(simulation, upgrade)
        assertEquals(0, simulation.state.rejectedCount, "transactions beyond limits that were announced")
    }

    @ParameterizedTest
    @ValueSource(longs = [21, 22, 23, 24])
    fun `limits that fall below what was announced are tolerated`(seed: Long) {
        val simulation = Simulation(seed, stateLimits = now)
        val upgrade = RollingUpgrade(simulation, next, batchSize = 1, finalLimits = StateLimits(40.0, 10.0, 1024, 3))
        day(simulation, upgrade, faults = 6)
        served(simulation, upgrade)
    }

    @Test
    fun `until the last controller is new, status says that an upgrade is under way`() {
        val simulation = Simulation(41, stateLimits = now)
        val upgrade = RollingUpgrade(simulation, next, batchSize = 1)
        simulation.begin(5, 20_000)
        upgrade.begin(30_000)
        simulation.clock.runUntil(38_000)
        for (node in simulation.nodes) assertFalse(node.status()?.allNew ?: false)
        simulation.clock.runUntil(140_000)
        for (node in simulation.nodes) assertTrue(node.status()?.allNew ?: false)
    }

    @ParameterizedTest
    @ValueSource(longs = [51, 52, 53])
    fun `a job of 20,000 tasks goes through an upgrade, and no completion that was written is lost`(seed: Long) {
        val simulation =
            Simulation(
                seed,
                size = SimulationSize(maxMachines = 60, limitFactor = 12),
                stateLimits = StateLimits(80.0, 40.0, 4096, 12),
            )
        val upgrade = RollingUpgrade(simulation, StateLimits(60.0, 30.0, 1024, 8), batchSize = 1)
        simulation.begin(6, 100_000, machines = 40)
        var id = ""
        // Tasks of half a second end sooner than starts can follow, also without an upgrade, so that there is always
        // room.
        simulation.clock.after(6000) {
            id =
                simulation.users.submit {
                    it.anywhere().copy(
                        tasks = 20_000,
                        team = "red",
                        taskResources = Resources(1.0, 0.0, 0.5),
                        expectedS = 3.0,
                        dueS = null,
                    )
                }
        }
        upgrade.begin(UPGRADE_MS)
        var most = 0
        var checks = 0
        var atUpgrade = 0

        fun watch() {
            val record = simulation.state.stored(JobRecord.KEY_PREFIX + id)[JobRecord.KEY_PREFIX + id]
            if (record != null && Fields.of(record, id).text("s") == "open") {
                val written = BitSet()
                for ((key, value) in simulation.state.stored(ProgressPageRecord.KEY_PREFIX + id + "/")) {
                    val from = key.substringAfterLast('/').toInt()
                    for (i in BitSet.valueOf(Base64.getDecoder().decode(Fields.of(value, key).text("b"))).stream()) {
                        written.set(from + i)
                    }
                }
                assertTrue(
                    written.cardinality() >= most,
                    "${written.cardinality()} of $most completions are left in the records",
                )
                most = written.cardinality()
                if (simulation.clock.timeMs < UPGRADE_MS) atUpgrade = most
                checks++
            }
            simulation.clock.after(100) { watch() }
        }
        simulation.clock.after(10_000) { watch() }
        simulation.rules.faultFreeFromMs = 250_000
        simulation.clock.runUntil(900_000)
        assertEquals(emptyList<String>(), simulation.rules.violations)
        assertEquals(0, simulation.state.rejectedCount)
        assertTrue(checks > 500 && most > 10_000, "$most completions seen in $checks checks")
        assertTrue(
            atUpgrade in 4000..18_000,
            "$atUpgrade completions were in the records when the first new leader could read them",
        )
        assertTrue(simulation.rules.isDone(id), "${simulation.rules.completedTaskCount} tasks were completed")
    }

    private companion object {
        const val UPGRADE_MS = 100_000L
    }
}
