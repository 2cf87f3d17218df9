package org.chalkhollow

import org.chalkhollow.core.attempts.DispatchMarkerRecord
import org.chalkhollow.model.Shape
import org.chalkhollow.settings.StateLimits
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.SimulationSize
import org.chalkhollow.simulation.asBatch
import org.chalkhollow.simulation.withReliableNetwork
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/**
 * Guards against a gang that waits forever beside idle machines: it has a row for each of its machines, and the rows do
 * not fit into one dispatch marker.
 */
class WideGangTest {
    /** A simulation in which a gang with a task for each of [machines] static machines is submitted at 10 s. */
    private fun simulationWithGang(seed: Long, limits: StateLimits, machines: Int): Simulation {
        val size = SimulationSize(maxMachines = machines, limitFactor = 64)
        val simulation = Simulation(seed, size = size, stateLimits = limits).withReliableNetwork()
        simulation.begin(0, 1, machines, controllerDelayMs = 4000) // the cloud lists the machines by then
        simulation.clock.after(10_000) {
            simulation.users.submit { it.asBatch("red", machines, 8.0, 5.0).copy(shape = Shape.GANG) }
        }
        return simulation
    }

    private fun assertDone(simulation: Simulation) {
        simulation.rules.faultFreeFromMs = 30_000
        simulation.clock.runUntil(150_000)
        assertEquals(emptyList<String>(), simulation.rules.violations)
        assertEquals(emptyList<String>(), simulation.rules.unfinishedJobs())
        assertEquals(1, simulation.rules.doneCount)
    }

    private fun markersIn(simulation: Simulation): Int = simulation.state.stored(DispatchMarkerRecord.PREFIX).size

    @ParameterizedTest
    @CsvSource("31, 80, 2048, 4", "32, 300, 2048, 4", "33, 300, 8192, 12", "34, 60, 1024, 3")
    fun `a gang starts on more machines than one dispatch marker lists`(
        seed: Long,
        machines: Int,
        valueBytes: Int,
        txnOps: Int,
    ) {
        val simulation = simulationWithGang(seed, StateLimits(80.0, 15.0, valueBytes, txnOps), machines)
        var mostMarkers = 0
        simulation.onEffect = { _, _, _ -> mostMarkers = maxOf(mostMarkers, markersIn(simulation)) }
        assertDone(simulation)
        assertTrue(mostMarkers > 1, "$mostMarkers marker listed the gang")
    }

    @ParameterizedTest
    @CsvSource("41, 1", "42, 3", "43, 5")
    fun `a gang runs although the leader crashes while its markers are written`(seed: Long, afterMarkers: Int) {
        val simulation = simulationWithGang(seed, StateLimits(80.0, 15.0, 1024, 3), machines = 200)
        var crashed = false
        simulation.onEffect = { _, _, _ ->
            if (!crashed && markersIn(simulation) >= afterMarkers) {
                crashed = true
                simulation.clock.after(1) { simulation.nodes.first { it.leads }.crash() }
            }
        }
        assertDone(simulation)
        assertTrue(crashed, "the leader did not crash")
    }

    @Test
    fun `a gang starts under limits that were not announced`() {
        val simulation = simulationWithGang(51, StateLimits(80.0, 20.0, 8192, 12), machines = 150)
        simulation.clock.after(9000) { simulation.state.loweredLimits = StateLimits(80.0, 15.0, 1024, 3) }
        assertDone(simulation)
        assertTrue(simulation.state.rejectedCount > 0, "no marker was rejected")
    }
}
