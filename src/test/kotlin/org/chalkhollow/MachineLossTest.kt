package org.chalkhollow

import org.chalkhollow.model.Resources
import org.chalkhollow.simulation.FakeWorker
import org.chalkhollow.simulation.FaultInjection
import org.chalkhollow.simulation.MassFault
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.addSpotMachines
import org.chalkhollow.simulation.anywhere
import org.chalkhollow.simulation.largeFleet
import org.chalkhollow.simulation.unconstrained
import org.chalkhollow.simulation.withReliableNetwork
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/**
 * Guards against tasks that are started again too late, or without need, after machines are lost or cannot be reached.
 */
class MachineLossTest {
    /**
     * Runs thirty long tasks on forty machines. [causeFault] gets a busy machine at 25 s and returns how many tasks
     * must have been started again by [untilMs].
     */
    private fun assertRestarts(untilMs: Long, causeFault: (Simulation, FakeWorker) -> Int) {
        val simulation = largeFleet(33, 3, 80)
        simulation.withReliableNetwork()
        simulation.begin(0, 1, machines = 0)
        simulation.addSpotMachines(40)
        simulation.clock.after(8000) {
            simulation.users.submit {
                it.anywhere().copy(
                    tasks = 30,
                    taskResources = Resources(4.0, 0.0, 1.0),
                    expectedS = 300.0,
                    checkpointS = 0.0,
                )
            }
        }
        simulation.clock.runUntil(25_000)
        val expectedRestarts = causeFault(simulation, simulation.cloud.workers.first { it.activeTasks().isNotEmpty() })
        simulation.clock.runUntil(untilMs)
        assertEquals(emptyList<String>(), simulation.rules.violations)
        assertEquals(expectedRestarts, simulation.rules.starts - 30)
    }

    /**
     * Waiting for the lease to expire made one job in five miss its deadline where spot machines are often reclaimed
     * without notice.
     */
    @Test
    fun `tasks of a dead machine start elsewhere before its lease would have expired`() {
        assertRestarts(
            25_000 + 16_000,
        ) { simulation, busy -> busy.activeTasks().size.also { simulation.cloud.failMachine(busy.name) } }
    }

    @Test
    fun `tasks that cannot finish before the cloud reclaims their machine start elsewhere at once`() {
        assertRestarts(25_000 + 9000) { simulation, busy ->
            busy.activeTasks().size.also {
                busy.terminationAtMs =
                    simulation.clock.timeMs + 15_000
            }
        }
    }

    @Test
    fun `no task is started again when a zone is cut off for less than a lease`() {
        assertRestarts(60_000) { simulation, _ ->
            for (worker in simulation.cloud.workers.filter {
                it.zone == simulation.zones.last()
            }) {
                for (node in simulation.nodes) simulation.network.cut(node.label, worker.name, 16_000, true)
            }
            0
        }
    }

    /**
     * A leader that no worker reaches renews no worker lease. An earlier version continued to lead while all worker
     * leases expired.
     */
    @Test
    fun `a leader that the workers do not reach steps down before their leases expire`() {
        val simulation = largeFleet(31, 3, 40)
        simulation.withReliableNetwork()
        simulation.begin(0, 1, machines = 40)
        simulation.clock.after(8000) {
            simulation.users.submit {
                it.unconstrained().copy(
                    tasks = 30,
                    taskResources = Resources(4.0, 0.0, 1.0),
                    expectedS = 300.0,
                )
            }
        }
        simulation.clock.after(
            25_000,
        ) { FaultInjection(simulation).injectMassFault(MassFault.LEADER_CUT_FROM_MACHINES) }
        simulation.clock.runUntil(62_000)
        assertEquals(emptyList<String>(), simulation.rules.violations)
        assertEquals(30, simulation.rules.starts, "tasks were started again because their machines' leases expired")
    }
}
