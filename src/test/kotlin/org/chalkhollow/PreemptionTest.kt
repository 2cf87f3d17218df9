package org.chalkhollow

import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.Priority
import org.chalkhollow.model.Resources
import org.chalkhollow.settings.Objective
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.SimulationSize
import org.chalkhollow.simulation.addSpotMachines
import org.chalkhollow.simulation.anywhere
import org.chalkhollow.simulation.withReliableNetwork
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Guards against preemptions that do not help the work they are meant for. */
class PreemptionTest {
    /**
     * An earlier version counted CPUs over all machines. The preempted tasks left too little free capacity on any one
     * machine for the other work, started where they had been and were preempted again, five times a second.
     */
    @Test
    fun `no task is preempted where that leaves too little capacity for the other work`() {
        val simulation =
            Simulation(
                21,
                size = SimulationSize(maxMachines = 4),
                objectives = listOf(Objective("guarantee", null, 60.0, 0.9)),
            )
        simulation.withReliableNetwork()
        simulation.begin(0, 1, machines = 0)
        simulation.addSpotMachines(4, listOf("east"))

        fun job(team: String, count: Int, cpus: Double, memoryGb: Double): (JobSpec) -> JobSpec =
            {
                it.anywhere().copy(
                    team = team,
                    priority = Priority.STANDARD,
                    tasks = count,
                    taskResources = Resources(cpus, 0.0, memoryGb),
                    image = "i",
                    expectedS = 300.0,
                    checkpointS = 0.0,
                )
            }
        simulation.clock.after(8000) { simulation.users.submit(job("blue", 4, 4.0, 40.0)) } // one on each machine
        simulation.clock.after(25_000) { simulation.users.submit(job("blue", 4, 4.0, 1.0)) }
        simulation.clock.after(27_000) { simulation.users.submit(job("red", 2, 6.0, 1.0)) }
        simulation.clock.runUntil(60_000)
        assertEquals(emptyList<String>(), simulation.rules.violations)
        assertEquals(8, simulation.rules.starts)
    }
}
