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

/**
 * Guards against services that lose replicas when machines have to be emptied: replicas migrate one at a time, and none
 * stops before capacity for it is free on another machine.
 */
class ReplicaMigrationScenariosTest {
    /** A service that runs on spot machines when the test begins. No more machines can be rented. */
    private class Scenario(seed: Long, machines: Int, tasks: Int, taskResources: Resources, spread: Boolean = true) {
        val simulation =
            Simulation(seed, OperatorSettings(maxIdleS = 900.0), size = SimulationSize(maxMachines = machines))
        val id: String

        init {
            simulation.withReliableNetwork()
            simulation.begin(0, 1, machines = 0, controllerDelayMs = 4000)
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
            simulation.rules.faultFreeFromMs = READY_MS
            simulation.clock.runUntil(READY_MS)
            assertEquals(tasks, simulation.rules.services.upCount(id))
        }

        fun replicasOn(worker: FakeWorker) = worker.activeTasks().filter { it.job == id }

        fun mostLoaded(): FakeWorker = simulation.cloud.workers.maxBy { replicasOn(it).size }

        fun reclaimIn(worker: FakeWorker, ms: Long) {
            worker.terminationAtMs = simulation.clock.timeMs + ms
            simulation.clock.after(ms) { simulation.cloud.failMachine(worker.name) }
        }

        fun submitBatch(priority: Priority, tasks: Int, cpus: Double, expectedS: Double): String {
            val id = "j-${simulation.clock.timeMs + 1}"
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

        fun assertServiceRuns() {
            assertEquals(emptyList<String>(), simulation.rules.violations)
            assertEquals(simulation.users.spec(id)?.tasks, simulation.rules.services.upCount(id))
        }
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `replicas migrate one at a time when the spot termination notice leaves time`(seed: Long) {
        val scenario = Scenario(seed, machines = 6, tasks = 8, taskResources = Resources(1.0, 0.0, 1.0))
        val reclaimed = scenario.mostLoaded()
        val replicas = scenario.replicasOn(reclaimed).size
        assertTrue(replicas > 1, "only $replicas replicas on ${reclaimed.name}")
        val startsBefore = scenario.simulation.rules.starts
        scenario.reclaimIn(reclaimed, 40_000)
        scenario.simulation.clock.runUntil(READY_MS + 39_000)
        assertEquals(0, scenario.replicasOn(reclaimed).size, "seed $seed")
        scenario.assertServiceRuns()
        assertEquals(startsBefore + replicas, scenario.simulation.rules.starts)
        assertEquals(
            1,
            scenario.simulation.rules.services
                .maxDownCount(scenario.id, READY_MS),
            "seed $seed",
        )
        scenario.simulation.clock.runUntil(READY_MS + 60_000)
        scenario.assertServiceRuns()
    }

    /** In an earlier version replicas stayed on a quarantined machine for ever, so it was never deleted. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `replicas migrate one at a time off a quarantined machine, which is then deleted`(seed: Long) {
        val scenario = Scenario(seed, machines = 6, tasks = 8, taskResources = Resources(1.0, 0.0, 1.0))
        val faulty = scenario.mostLoaded()
        assertTrue(scenario.replicasOn(faulty).size > 1)
        faulty.isFaulty = true // tasks that start there from now on fail; the replicas keep running
        repeat(
            4,
        ) { i -> scenario.simulation.clock.after(i * 2500L) { scenario.submitBatch(Priority.HIGH, 12, 2.0, 4.0) } }
        scenario.simulation.clock.runUntil(READY_MS + 60_000)
        assertEquals(0, scenario.replicasOn(faulty).size, "seed $seed")
        scenario.assertServiceRuns()
        assertEquals(
            1,
            scenario.simulation.rules.services
                .maxDownCount(scenario.id, READY_MS),
            "seed $seed",
        )
        assertTrue(scenario.simulation.cloud.worker(faulty.name) == null, "${faulty.name} is still rented")
    }

    /** An earlier version stopped every replica at the notice, although no other machine had capacity for it. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `a replica that fits on no other machine runs until shortly before the reclaim`(seed: Long) {
        val scenario = Scenario(seed, machines = 2, tasks = 2, taskResources = Resources(4.0, 0.0, 1.0))
        scenario.submitBatch(Priority.PRODUCTION, 2, 4.0, 300.0)
        scenario.simulation.clock.runUntil(READY_MS + 15_000)
        val reclaimed = scenario.mostLoaded()
        scenario.reclaimIn(reclaimed, 15_000)
        scenario.simulation.clock.runUntil(READY_MS + 15_000 + 12_500)
        assertEquals(emptyList<String>(), scenario.simulation.rules.violations)
        assertEquals(
            1,
            scenario.replicasOn(reclaimed).size,
            "seed $seed: the replica was stopped although it fits on no other machine",
        )
        assertEquals(
            2,
            scenario.simulation.rules.services
                .upCount(scenario.id),
        )
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `capacity freed by preempting batch work goes to the migrating replica`(seed: Long) {
        val scenario = Scenario(seed, machines = 4, tasks = 4, taskResources = Resources(2.0, 0.0, 1.0))
        repeat(
            3,
        ) { i -> scenario.simulation.clock.after(i * 500L) { scenario.submitBatch(Priority.HIGH, 10, 2.0, 200.0) } }
        scenario.simulation.clock.runUntil(READY_MS + 15_000)
        val reclaimed = scenario.mostLoaded()
        scenario.reclaimIn(reclaimed, 30_000)
        scenario.simulation.clock.runUntil(READY_MS + 44_000)
        assertEquals(0, scenario.replicasOn(reclaimed).size, "seed $seed")
        assertEquals(emptyList<String>(), scenario.simulation.rules.violations)
        assertEquals(
            4,
            scenario.simulation.rules.services
                .upCount(scenario.id),
        )
        val downMs =
            scenario.simulation.rules.services
                .longestDownMs(scenario.id, READY_MS + 15_000)
        assertTrue(downMs <= RESTART_MS + FETCH_MS, "seed $seed: down for $downMs ms")
        assertEquals(
            1,
            scenario.simulation.rules.services
                .maxDownCount(scenario.id, READY_MS + 15_000),
            "seed $seed",
        )
    }

    private companion object {
        const val READY_MS = 25_000L

        /** Covers the stop, the heartbeat that reports its end, the dispatch marker and the start. */
        const val RESTART_MS = 1500L

        /** Covers fetching the image. */
        const val FETCH_MS = 3000L
    }
}
