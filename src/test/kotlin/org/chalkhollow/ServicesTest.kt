package org.chalkhollow

import org.chalkhollow.model.ExitCause
import org.chalkhollow.model.Priority
import org.chalkhollow.model.Resources
import org.chalkhollow.simulation.FaultInjection
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.SimulationSize
import org.chalkhollow.simulation.asBatch
import org.chalkhollow.simulation.assertRulesHold
import org.chalkhollow.simulation.faultFreeSimulation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource

/** Guards against services that end, or lose replicas for good, before their user cancels them. */
class ServicesTest {
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `a service runs until it is cancelled`(seed: Long) {
        val simulation = faultFreeSimulation(seed)
        val id = simulation.users.submitService()
        simulation.rules.faultFreeFromMs = 25_000
        simulation.clock.runUntil(400_000)
        assertEquals(1.0, simulation.rules.availability(id, 6000), 1e-9)
        assertEquals(listOf("queued", "running"), simulation.users.reportedStates(id))
        simulation.users.cancel(id)
        simulation.clock.runUntil(400_000 + simulation.cancelMs)
        assertEquals(listOf("queued", "running", "aborted"), simulation.users.reportedStates(id))
        assertTrue(simulation.cloud.workers.all { it.activeTasks().isEmpty() }, "replicas still run")
        val startsBefore = simulation.rules.starts
        simulation.clock.runUntil(500_000)
        assertEquals(startsBefore, simulation.rules.starts)
        simulation.assertRulesHold()
    }

    @ParameterizedTest
    @CsvSource("1,DONE", "2,DONE", "3,ERROR", "4,ERROR")
    fun `a replica that exits is started again, and the service is never done`(seed: Long, cause: ExitCause) {
        val simulation = faultFreeSimulation(seed)
        val id = simulation.users.submitService { it.copy(tasks = 4) }
        simulation.rules.faultFreeFromMs = 25_000
        simulation.clock.runUntil(25_000)
        for (round in 1..8) {
            val index = round % 4
            val before =
                simulation.cloud.workers
                    .flatMap { it.activeTasks() }
                    .single { it.index == index }
                    .attempt
            assertTrue(simulation.cloud.workers.any { it.endReplica(id, index, cause) })
            simulation.clock.runUntil(simulation.clock.timeMs + 25_000)
            val after =
                simulation.cloud.workers
                    .flatMap { it.activeTasks() }
                    .singleOrNull { it.index == index }
                    ?.attempt
            assertTrue(
                after != null && after != before,
                "round $round: replica $index ran as attempt $before, now as $after",
            )
        }
        // A heartbeat reports the exit within 0.5 s. Then the replica is placed, its dispatch marker persisted, the
        // start sent, and the image fetched.
        val downMs = simulation.rules.services.longestDownMs(id, 25_000)
        assertTrue(downMs <= REACT_MS + FETCH_MS, "down for $downMs ms")
        assertEquals(listOf("queued", "running"), simulation.users.reportedStates(id))
        // All replicas exit at once: for a moment none runs, but the service has not ended.
        for (worker in simulation.cloud.workers) for (i in 0..3) worker.endReplica(id, i, cause)
        simulation.clock.runUntil(simulation.clock.timeMs + 25_000)
        assertEquals(4, simulation.rules.services.upCount(id))
        assertTrue("done" !in simulation.users.reportedStates(id))
        simulation.assertRulesHold()
    }

    @Test
    fun `the status says how many replicas are up and why one is down`() {
        val simulation = faultFreeSimulation(4, machines = 10, maxMachines = 10)
        // Has the same priority as the service, so it is not preempted, and uses 36 of the team's 40 CPUs.
        simulation.users.submit { it.asBatch("red", 18, 2.0, 300.0).copy(priority = Priority.PRODUCTION) }
        simulation.clock.runUntil(25_000)
        val id =
            simulation.users.submitService {
                it.copy(team = "red", workload = "portal", tasks = 4, taskResources = Resources(2.0, 0.0, 1.0))
            }
        simulation.clock.runUntil(50_000)
        val service = checkNotNull(simulation.nodes.single { it.leads }.status()).services.single()
        assertEquals(listOf("portal", 1, 4, 2), listOf(service.name, service.services, service.wanted, service.up))
        assertEquals("$id: its team is at its limit", service.down.single())
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `services run again after a day with faults`(seed: Long) {
        val simulation = Simulation(seed, size = SimulationSize(controllers = if (seed % 3 == 0L) 5 else 3))
        simulation.network.copyProbability = 0.01
        simulation.begin(30, 150_000)
        val services = ArrayList<String>()
        repeat(6) {
            simulation.clock.after(simulation.clock.between(0, 120_000)) {
                services.add(simulation.users.submitService { it.copy(spotAllowed = simulation.clock.chance(0.3)) })
            }
        }
        simulation.clock.after(140_000) { simulation.users.cancel(services.first()) }
        simulation.clock.after(300_000) { simulation.users.cancel(services[1]) }
        FaultInjection(simulation).injectRandom(14, 10_000, 170_000)
        simulation.clock.after(210_000) { simulation.network.copyProbability = 0.0 }
        simulation.rules.faultFreeFromMs = 250_000 // after the last fault and the last late copy
        simulation.clock.runUntil(420_000)
        simulation.assertRulesHold()
        for (id in services.drop(2)) {
            assertEquals(
                simulation.users.spec(id)?.tasks,
                simulation.rules.services.upCount(id),
                "running replicas of $id at the end",
            )
            val share = simulation.rules.services.availability(id, 260_000, 420_000)
            assertTrue(share > 0.97, "$id ran for $share of the time after the faults")
        }
        for (id in services.take(2)) assertEquals("aborted", simulation.users.reportedStates(id).last())
    }

    private companion object {
        const val REACT_MS = 3000L
        const val FETCH_MS = 3000L
    }
}
