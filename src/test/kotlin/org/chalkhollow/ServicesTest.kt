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

/** Services: tasks (replicas) that run until their user withdraws the job. */
class ServicesTest {
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `a service runs until it is withdrawn`(seed: Long) {
        val simulation = faultFreeSimulation(seed)
        val id = simulation.users.submitService()
        simulation.rules.faultFreeFromMs = 25_000
        simulation.clock.runUntil(400_000)
        assertEquals(1.0, simulation.rules.availability(id, 6000), 1e-9)
        assertEquals(listOf("queued", "running"), simulation.users.reportedStates(id))
        simulation.users.cancel(id)
        simulation.clock.runUntil(400_000 + simulation.cancelMs)
        assertEquals(listOf("queued", "running", "aborted"), simulation.users.reportedStates(id))
        assertTrue(simulation.cloud.workers.all { it.activeTasks().isEmpty() }, "replicas are left")
        val starts = simulation.rules.starts
        simulation.clock.runUntil(500_000)
        assertEquals(starts, simulation.rules.starts)
        simulation.assertRulesHold()
    }

    @ParameterizedTest
    @CsvSource("1,DONE", "2,DONE", "3,ERROR", "4,ERROR")
    fun `a replica that ends by itself runs again, and the service is never done`(seed: Long, cause: ExitCause) {
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
        // Noticed by the next heartbeat, half a second later at most, placed, written down, started, and its image
        // fetched.
        val down = simulation.rules.services.longestDownMs(id, 25_000)
        assertTrue(down <= REACT_MS + FETCH_MS, "down for $down ms")
        assertEquals(listOf("queued", "running"), simulation.users.reportedStates(id))
        // All at once: nothing runs for a moment, and that is no end.
        for (worker in simulation.cloud.workers) for (i in 0..3) worker.endReplica(id, i, cause)
        simulation.clock.runUntil(simulation.clock.timeMs + 25_000)
        assertEquals(4, simulation.rules.services.upCount(id))
        assertTrue("done" !in simulation.users.reportedStates(id))
        simulation.assertRulesHold()
    }

    @Test
    fun `the status says how many replicas are up and why one is down`() {
        val simulation = faultFreeSimulation(4, machines = 10, maxMachines = 10)
        // As urgent as the service, so that it does not give way: 36 of the team's 40 CPUs.
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
    fun `a faulty day with services among the jobs`(seed: Long) {
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
        simulation.rules.faultFreeFromMs = 250_000 // the last fault and the last late copy are over
        simulation.clock.runUntil(420_000)
        simulation.assertRulesHold()
        for (id in services.drop(2)) {
            assertEquals(
                simulation.users.spec(id)?.tasks,
                simulation.rules.services.upCount(id),
                "replicas of $id at the end",
            )
            val share = simulation.rules.services.availability(id, 260_000, 420_000)
            assertTrue(share > 0.97, "$id was served $share of the calm time")
        }
        for (id in services.take(2)) assertEquals("aborted", simulation.users.reportedStates(id).last())
    }

    private companion object {
        const val REACT_MS = 3000L
        const val FETCH_MS = 3000L
    }
}
