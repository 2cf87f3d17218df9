package org.chalkhollow

import org.chalkhollow.model.Resources
import org.chalkhollow.simulation.Simulation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Late copies of heartbeats and of commands. */
class DuplicateMessagesTest {
    // An earlier version took each copy for a renewal of the lease, so what ran there was never started elsewhere.
    @Test
    fun `copies of its last report do not keep a dead machine alive, nor for a new leader`() {
        val r = Simulation(12)
        r.network.loss = 0.0
        r.network.late = 0.0
        r.begin(0, 1, machines = 0)
        repeat(3) { r.cloud.add(r.types[0], "east", true, 0) }
        r.clock.after(8000) {
            r.users.submit {
                it.copy(
                    tasks = 9,
                    taskResources = Resources(2.0, 0.0, 1.0),
                    types = null,
                    zone = null,
                    together = false,
                    spread = false,
                    spotAllowed = true,
                    expectedS = 20.0,
                    checkpointS = 0.0,
                )
            }
        }
        r.clock.runUntil(18_000)
        val dead = r.cloud.workers.first { it.onMachine().isNotEmpty() }
        r.cloud.kill(dead.name)
        for (at in 0L..90_000L step 1500) r.clock.after(at) { dead.repeatLastReport() }
        r.clock.after(5000) { r.nodes.filter { it.leads }.forEach { it.crash() } }
        r.clock.runUntil(66_000)
        assertEquals(emptyList<String>(), r.rules.violations)
        assertEquals(9, r.rules.completions, "still waiting for a dead machine: ${r.rules.pending()}")
    }

    // A worker that has forgotten an attempt begins it again when a copy of its start comes; seed 5361 of the random
    // runs let a team exceed its limit that way.
    @Test
    fun `a copy of a start begins nothing that was stopped, however late it comes`() {
        val r = Simulation(22)
        r.network.loss = 0.0
        r.network.late = 0.0
        r.begin(0, 1, machines = 0)
        repeat(3) { r.cloud.add(r.types[0], "east", true, 0) }
        var job = ""
        r.clock.after(8000) {
            job =
                r.users.submit {
                    it.copy(
                        tasks = 6,
                        taskResources = Resources(2.0, 0.0, 1.0),
                        types = null,
                        zone = null,
                        together = false,
                        spread = false,
                        spotAllowed = true,
                        expectedS = 300.0,
                    )
                }
        }
        r.clock.after(16_000) { r.users.cancel(job) }
        for (at in 18_000L..90_000L step 6000) r.clock.after(at) { r.cloud.workers.forEach { it.repeatLastStart() } }
        r.clock.runUntil(90_000)
        assertEquals(emptyList<String>(), r.rules.violations)
        assertEquals(6, r.rules.starts, "a cancelled task was begun again")
    }
}
