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
 * Guards against lost jobs and exceeded limits during an upgrade: one or two controllers at a time are restarted with
 * the new version, and afterwards the limits of the state service are lowered.
 */
class RollingUpgradeTest {
    private val currentLimits = StateLimits(80.0, 20.0, 8192, 12)
    private val nextLimits = StateLimits(40.0, 12.0, 2048, 6)

    private fun playDay(simulation: Simulation, upgrade: RollingUpgrade, faults: Int): Simulation {
        if (faults > 0) simulation.network.copyProbability = 0.01
        simulation.begin(40, 180_000)
        upgrade.begin(30_000)
        FaultInjection(simulation).injectRandom(faults, 10_000, 170_000)
        simulation.clock.after(210_000) { simulation.network.copyProbability = 0.0 }
        simulation.rules.faultFreeFromMs = 260_000
        simulation.clock.runUntil(480_000)
        return simulation
    }

    private fun assertUpgraded(simulation: Simulation, upgrade: RollingUpgrade) {
        assertEquals(emptyList<String>(), simulation.rules.violations)
        assertEquals(emptyList<String>(), simulation.rules.starved())
        assertTrue(simulation.rules.acceptedCount >= 36, "only ${simulation.rules.acceptedCount} jobs were accepted")
        assertTrue(simulation.rules.doneCount >= 30, "only ${simulation.rules.doneCount} jobs were reported as done")
        assertTrue(upgrade.limitsLoweredAtMs < 240_000, "the limits were not lowered")
        for (node in simulation.nodes) {
            assertEquals(
                true,
                node.status()?.allNew,
                "${node.label} does not know that all controllers run the new version",
            )
        }
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12])
    fun `an upgrade during faults breaks no rule, starves no job and stays within the lowered limits`(seed: Long) {
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
                stateLimits = currentLimits,
            )
        val upgrade = RollingUpgrade(simulation, nextLimits, batchSize = 1 + (seed % 2).toInt())
        playDay(simulation, upgrade, faults = 12)
        assertUpgraded(simulation, upgrade)
        assertEquals(0, simulation.state.rejectedCount, "transactions exceeded the announced limits")
    }

    @ParameterizedTest
    @ValueSource(longs = [21, 22, 23, 24])
    fun `limits lower than those announced break no rule`(seed: Long) {
        val simulation = Simulation(seed, stateLimits = currentLimits)
        val upgrade =
            RollingUpgrade(simulation, nextLimits, batchSize = 1, finalLimits = StateLimits(40.0, 10.0, 1024, 3))
        playDay(simulation, upgrade, faults = 6)
        assertUpgraded(simulation, upgrade)
    }

    @Test
    fun `status says that an upgrade is in progress until all controllers run the new version`() {
        val simulation = Simulation(41, stateLimits = currentLimits)
        val upgrade = RollingUpgrade(simulation, nextLimits, batchSize = 1)
        simulation.begin(5, 20_000)
        upgrade.begin(30_000)
        simulation.clock.runUntil(38_000)
        for (node in simulation.nodes) assertFalse(node.status()?.allNew ?: false)
        simulation.clock.runUntil(140_000)
        for (node in simulation.nodes) assertTrue(node.status()?.allNew ?: false)
    }

    @ParameterizedTest
    @ValueSource(longs = [51, 52, 53])
    fun `no recorded completion of a job of 20,000 tasks is lost in an upgrade`(seed: Long) {
        val simulation =
            Simulation(
                seed,
                size = SimulationSize(maxMachines = 60, limitFactor = 12),
                stateLimits = StateLimits(80.0, 40.0, 4096, 12),
            )
        val upgrade = RollingUpgrade(simulation, StateLimits(60.0, 30.0, 1024, 8), batchSize = 1)
        simulation.begin(6, 100_000, machines = 40)
        var id = ""
        // Its tasks end sooner than new ones can start, also without an upgrade, so there is always free capacity.
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
        var recorded = 0
        var checks = 0
        var recordedAtUpgrade = 0

        fun checkRecords() {
            val record = simulation.state.stored(JobRecord.KEY_PREFIX + id)[JobRecord.KEY_PREFIX + id]
            if (record != null && Fields.of(record, id).text("s") == "open") {
                val written = BitSet()
                for ((key, value) in simulation.state.stored(ProgressPageRecord.KEY_PREFIX + id + "/")) {
                    val firstIndex = key.substringAfterLast('/').toInt()
                    for (i in BitSet.valueOf(Base64.getDecoder().decode(Fields.of(value, key).text("b"))).stream()) {
                        written.set(firstIndex + i)
                    }
                }
                assertTrue(
                    written.cardinality() >= recorded,
                    "only ${written.cardinality()} of $recorded completions are still recorded",
                )
                recorded = written.cardinality()
                if (simulation.clock.timeMs < UPGRADE_MS) recordedAtUpgrade = recorded
                checks++
            }
            simulation.clock.after(100) { checkRecords() }
        }
        simulation.clock.after(10_000) { checkRecords() }
        simulation.rules.faultFreeFromMs = 250_000
        simulation.clock.runUntil(900_000)
        assertEquals(emptyList<String>(), simulation.rules.violations)
        assertEquals(0, simulation.state.rejectedCount)
        assertTrue(checks > 500 && recorded > 10_000, "$recorded completions seen in $checks checks")
        assertTrue(
            recordedAtUpgrade in 4000..18_000,
            "$recordedAtUpgrade completions were recorded before the first controller was upgraded",
        )
        assertTrue(simulation.rules.isDone(id), "${simulation.rules.completedTaskCount} tasks were completed")
    }

    private companion object {
        const val UPGRADE_MS = 100_000L
    }
}
