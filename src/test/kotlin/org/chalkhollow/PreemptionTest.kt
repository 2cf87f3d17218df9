package org.chalkhollow

import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.Priority
import org.chalkhollow.model.Resources
import org.chalkhollow.settings.Objective
import org.chalkhollow.simulation.Simulation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** What is stopped for other work, and what is not. */
class PreemptionTest {
    // CPUs were once counted over all machines: what was stopped left too little room for the other, went back to where
    // it had been, and was stopped again, five times a second.
    @Test
    fun `nothing is stopped where that makes no room for what it is stopped for`() {
        val r = Simulation(21, capacity = 4, objectives = listOf(Objective("guarantee", null, 60.0, 0.9)))
        r.network.loss = 0.0
        r.network.late = 0.0
        r.begin(0, 1, machines = 0)
        repeat(4) { r.cloud.add(r.types[0], "east", true, 0) }

        fun job(team: String, count: Int, cpus: Double, memoryGb: Double): (JobSpec) -> JobSpec =
            {
                it.copy(
                    team = team,
                    priority = Priority.STANDARD,
                    tasks = count,
                    taskResources = Resources(cpus, 0.0, memoryGb),
                    image = "i",
                    types = null,
                    zone = null,
                    together = false,
                    spread = false,
                    spotAllowed = true,
                    expectedS = 300.0,
                    checkpointS = 0.0,
                )
            }
        r.clock.after(8000) { r.users.submit(job("blue", 4, 4.0, 40.0)) } // one on each machine
        r.clock.after(25_000) { r.users.submit(job("blue", 4, 4.0, 1.0)) }
        r.clock.after(27_000) { r.users.submit(job("red", 2, 6.0, 1.0)) }
        r.clock.runUntil(60_000)
        assertEquals(emptyList<String>(), r.rules.violations)
        assertEquals(8, r.rules.starts)
    }
}
