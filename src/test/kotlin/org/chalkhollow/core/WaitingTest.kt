package org.chalkhollow.core

import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.Priority
import org.chalkhollow.model.Resources
import org.chalkhollow.settings.Objective
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.SimulationSize
import org.chalkhollow.simulation.withReliableNetwork
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Pending tasks are placed eventually if machines have free capacity for them. */
class WaitingTest {
    /** A simulation with [capacity] machines, a reliable network, and no deletion of idle machines for 900 s. */
    private fun simulationWithMachines(capacity: Int, objectives: List<Objective> = emptyList()): Simulation {
        val simulation =
            Simulation(
                17,
                OperatorSettings(maxIdleS = 900.0),
                size = SimulationSize(capacity = capacity),
                objectives = objectives,
            ).withReliableNetwork()
        simulation.begin(0, 1, machines = 0)
        repeat(capacity) { simulation.cloud.add(simulation.types[0], simulation.zones[it % 2], false, 0) }
        return simulation
    }

    /** A copy of this job that may run on any machine that is not a spot machine. */
    private fun JobSpec.unconstrained() =
        copy(types = null, zone = null, together = false, spread = false, spotAllowed = false)

    private fun Simulation.assertDone(jobs: Int) {
        assertEquals(emptyList<String>(), rules.violations)
        assertEquals(jobs, rules.doneCount, "jobs still pending: ${rules.pending()}")
    }

    // Guards against a permanent exclusion: machines on which a job had failed were never used for it again, although
    // they had become healthy.
    @Test
    fun `a job that failed on every machine runs once they are healthy again`() {
        val simulation = simulationWithMachines(capacity = 3)
        simulation.clock.runUntil(8000)
        // One long task on each machine, so that no idle machine is deleted and replaced.
        simulation.users.submit {
            it.unconstrained().copy(
                id = "j-2",
                tasks = 3,
                taskResources = Resources(2.0, 0.0, 40.0),
                expectedS = 400.0,
            )
        }
        simulation.clock.runUntil(40_000)
        simulation.cloud.workers.forEach { it.sick = true }
        simulation.users.submit {
            it.unconstrained().copy(
                id = "j-1",
                tasks = 6,
                taskResources = Resources(2.0, 0.0, 1.0),
                expectedS = 4.0,
            )
        }
        simulation.clock.runUntil(52_000)
        simulation.cloud.workers.forEach { it.sick = false }
        simulation.clock.runUntil(140_000)
        simulation.assertDone(jobs = 1)
    }

    // Guards against a permanent reservation: headroom for urgent jobs was never given to other jobs.
    @Test
    fun `headroom for urgent jobs is given to a job that has waited long`() {
        val simulation =
            simulationWithMachines(capacity = 2, objectives = listOf(Objective("wait", "urgent", 3.0, 0.9)))
        simulation.clock.runUntil(8000)
        simulation.users.submit {
            it.unconstrained().copy(
                id = "j-1",
                workload = "urgent",
                team = "red",
                tasks = 4,
                taskResources = Resources(4.0, 0.0, 1.0),
                expectedS = 3.0,
            )
        }
        simulation.clock.runUntil(20_000)
        simulation.users.submit {
            it.unconstrained().copy(
                id = "j-2",
                workload = "other",
                team = "blue",
                priority = Priority.STANDARD,
                tasks = 6,
                taskResources = Resources(4.0, 0.0, 1.0),
                expectedS = 3.0,
                dueS = null,
            )
        }
        simulation.clock.runUntil(110_000)
        simulation.assertDone(jobs = 2)
    }

    // Guards against a permanent reservation: headroom for services was never given to other jobs. Found by the random
    // days with services among the jobs, seed 1046.
    @Test
    fun `headroom for services is given to a job that has waited long`() {
        val simulation = simulationWithMachines(capacity = 2)
        simulation.clock.runUntil(8000)
        val service =
            simulation.users.submitService {
                it.copy(
                    team = "red",
                    tasks = 4,
                    taskResources = Resources(2.0, 0.0, 1.0),
                )
            }
        simulation.clock.runUntil(25_000)
        assertEquals(4, simulation.rules.services.up(service))
        simulation.users.submit {
            it.unconstrained().copy(
                id = "j-2",
                workload = "other",
                team = "blue",
                priority = Priority.STANDARD,
                tasks = 3,
                taskResources = Resources(2.0, 0.0, 1.0),
                expectedS = 3.0,
                dueS = null,
            )
        }
        simulation.rules.calmFrom = 25_000
        simulation.clock.runUntil(125_000)
        simulation.assertDone(jobs = 1)
    }
}
