package org.chalkhollow

import org.chalkhollow.model.Resources
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.addSpotMachines
import org.chalkhollow.simulation.anywhere
import org.chalkhollow.simulation.withReliableNetwork
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Guards against late copies of heartbeats and commands that take effect a second time. */
class DuplicateMessagesTest {
    /**
     * An earlier version renewed the machine's lease with each copy, so the tasks of the dead machine were never
     * started elsewhere.
     */
    @Test
    fun `copies of a dead machine's last heartbeat do not renew its lease, also with a new leader`() {
        val simulation = Simulation(12)
        simulation.withReliableNetwork()
        simulation.begin(0, 1, machines = 0)
        simulation.addSpotMachines(3, listOf("east"))
        simulation.clock.after(8000) {
            simulation.users.submit {
                it.anywhere().copy(
                    tasks = 9,
                    taskResources = Resources(2.0, 0.0, 1.0),
                    expectedS = 20.0,
                    checkpointS = 0.0,
                )
            }
        }
        simulation.clock.runUntil(18_000)
        val dead = simulation.cloud.workers.first { it.activeTasks().isNotEmpty() }
        simulation.cloud.failMachine(dead.name)
        for (at in 0L..90_000L step 1500) simulation.clock.after(at) { dead.repeatLastHeartbeat() }
        simulation.clock.after(5000) { simulation.nodes.filter { it.leads }.forEach { it.crash() } }
        simulation.clock.runUntil(66_000)
        assertEquals(emptyList<String>(), simulation.rules.violations)
        assertEquals(
            9,
            simulation.rules.completedTaskCount,
            "tasks still wait for a dead machine: ${simulation.rules.unfinishedJobs()}",
        )
    }

    /**
     * A worker that has forgotten an attempt starts it again when a copy of its start arrives. In seed 5361 of the
     * random runs a team exceeded its limit that way.
     */
    @Test
    fun `a late copy of a start command does not restart a stopped attempt`() {
        val simulation = Simulation(22)
        simulation.withReliableNetwork()
        simulation.begin(0, 1, machines = 0)
        simulation.addSpotMachines(3, listOf("east"))
        var job = ""
        simulation.clock.after(8000) {
            job =
                simulation.users.submit {
                    it.anywhere().copy(
                        tasks = 6,
                        taskResources = Resources(2.0, 0.0, 1.0),
                        expectedS = 300.0,
                    )
                }
        }
        simulation.clock.after(16_000) { simulation.users.cancel(job) }
        for (at in 18_000L..90_000L step 6000) {
            simulation.clock.after(at) {
                simulation.cloud.workers.forEach { it.repeatLastStart() }
            }
        }
        simulation.clock.runUntil(90_000)
        assertEquals(emptyList<String>(), simulation.rules.violations)
        assertEquals(6, simulation.rules.starts, "a cancelled task was started again")
    }
}
