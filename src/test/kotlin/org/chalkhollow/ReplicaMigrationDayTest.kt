package org.chalkhollow

import org.chalkhollow.model.Priority
import org.chalkhollow.model.Resources
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.simulation.FakeWorker
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.SimulationSize
import org.chalkhollow.simulation.addSpotMachines
import org.chalkhollow.simulation.anywhere
import org.chalkhollow.simulation.withReliableNetwork
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Replicas leave machines that have to be emptied one at a time, and not before there is room for them elsewhere. */
class ReplicaMigrationDayTest {
    /** A service on spot machines, of which there are no more to be rented. */
    private class Day(seed: Long, machines: Int, tasks: Int, taskResources: Resources, spread: Boolean = true) {
        val simulation =
            Simulation(seed, OperatorSettings(maxIdleS = 900.0), size = SimulationSize(capacity = machines))
        val id: String

        init {
            simulation.withReliableNetwork()
            simulation.begin(0, 1, machines = 0, firstMs = 4000)
            simulation.addSpotMachines(machines)
            simulation.clock.runUntil(12_000)
            id =
                simulation.users.submitService {
                    it.copy(
                        tasks = tasks,
                        taskResources = taskResources,
                        spread = spread,
                        spotAllowed = true,
                    )
                }
            simulation.rules.calmFrom = READY_MS
            simulation.clock.runUntil(READY_MS)
            assertEquals(tasks, simulation.rules.services.up(id))
        }

        fun replicasOn(worker: FakeWorker) = worker.onMachine().filter { it.job == id }

        fun mostLoaded(): FakeWorker = simulation.cloud.workers.maxBy { replicasOn(it).size }

        fun takeIn(worker: FakeWorker, ms: Long) {
            worker.noticeAt = simulation.clock.time + ms
            simulation.clock.after(ms) { simulation.cloud.kill(worker.name) }
        }

        fun submitBatch(priority: Priority, tasks: Int, cpus: Double, expectedS: Double): String {
            val id = "j-${simulation.clock.time + 1}"
            simulation.users.submit { drawn ->
                drawn.anywhere().copy(
                    id = id,
                    team = "blue",
                    workload = "batch",
                    priority = priority,
                    tasks = tasks,
                    taskResources = Resources(cpus, 0.0, 1.0),
                    expectedS = expectedS,
                    checkpointS = 0.0,
                    dueS = null,
                )
            }
            return id
        }

        fun holds() {
            assertEquals(emptyList<String>(), simulation.rules.violations)
            assertEquals(simulation.users.spec(id)?.tasks, simulation.rules.services.up(id))
        }
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `a spot notice that leaves time moves one replica after the other`(seed: Long) {
        val day = Day(seed, machines = 6, tasks = 8, taskResources = Resources(1.0, 0.0, 1.0))
        val taken = day.mostLoaded()
        val replicas = day.replicasOn(taken).size
        assertTrue(replicas > 1, "only $replicas replicas on ${taken.name}")
        val starts = day.simulation.rules.starts
        day.takeIn(taken, 40_000)
        day.simulation.clock.runUntil(READY_MS + 39_000)
        assertEquals(0, day.replicasOn(taken).size, "seed $seed")
        day.holds()
        assertEquals(starts + replicas, day.simulation.rules.starts)
        assertEquals(
            1,
            day.simulation.rules.services
                .mostDownAtOnce(day.id, READY_MS),
            "seed $seed",
        )
        day.simulation.clock.runUntil(READY_MS + 60_000)
        day.holds()
    }

    // Replicas on a quarantined machine stayed there for good, and it was never returned.
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `a quarantined machine is drained one replica after the other`(seed: Long) {
        val day = Day(seed, machines = 6, tasks = 8, taskResources = Resources(1.0, 0.0, 1.0))
        val faulty = day.mostLoaded()
        assertTrue(day.replicasOn(faulty).size > 1)
        faulty.sick = true // what starts there from now on fails; the replicas run on
        repeat(4) { i -> day.simulation.clock.after(i * 2500L) { day.submitBatch(Priority.HIGH, 12, 2.0, 4.0) } }
        day.simulation.clock.runUntil(READY_MS + 60_000)
        assertEquals(0, day.replicasOn(faulty).size, "seed $seed")
        day.holds()
        assertEquals(
            1,
            day.simulation.rules.services
                .mostDownAtOnce(day.id, READY_MS),
            "seed $seed",
        )
        assertTrue(day.simulation.cloud.worker(faulty.name) == null, "${faulty.name} is still rented")
    }

    // Every replica was stopped as soon as the notice came, though nothing else had room for it.
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `a replica for which there is no room runs until the notice is nearly over`(seed: Long) {
        val day = Day(seed, machines = 2, tasks = 2, taskResources = Resources(4.0, 0.0, 1.0))
        day.submitBatch(Priority.PRODUCTION, 2, 4.0, 300.0)
        day.simulation.clock.runUntil(READY_MS + 15_000)
        val taken = day.mostLoaded()
        day.takeIn(taken, 15_000)
        day.simulation.clock.runUntil(READY_MS + 15_000 + 12_500)
        assertEquals(emptyList<String>(), day.simulation.rules.violations)
        assertEquals(1, day.replicasOn(taken).size, "seed $seed: it was stopped without a place to go")
        assertEquals(
            2,
            day.simulation.rules.services
                .up(day.id),
        )
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `room made by stopping batch work goes to the replica that moves`(seed: Long) {
        val day = Day(seed, machines = 4, tasks = 4, taskResources = Resources(2.0, 0.0, 1.0))
        repeat(3) { i -> day.simulation.clock.after(i * 500L) { day.submitBatch(Priority.HIGH, 10, 2.0, 200.0) } }
        day.simulation.clock.runUntil(READY_MS + 15_000)
        val taken = day.mostLoaded()
        day.takeIn(taken, 30_000)
        day.simulation.clock.runUntil(READY_MS + 44_000)
        assertEquals(0, day.replicasOn(taken).size, "seed $seed")
        assertEquals(emptyList<String>(), day.simulation.rules.violations)
        assertEquals(
            4,
            day.simulation.rules.services
                .up(day.id),
        )
        val down =
            day.simulation.rules.services
                .longestDownMs(day.id, READY_MS + 15_000)
        assertTrue(down <= REACT_MS + FETCH_MS, "seed $seed: down for $down ms")
        assertEquals(
            1,
            day.simulation.rules.services
                .mostDownAtOnce(day.id, READY_MS + 15_000),
            "seed $seed",
        )
    }

    private companion object {
        const val READY_MS = 25_000L

        /** A stop, the heartbeat with its end, a marker and a start; then the image. */
        const val REACT_MS = 1500L
        const val FETCH_MS = 3000L
    }
}
