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

/** Nothing waits for good beside machines that have room for it. */
class WaitingTest {
    private fun calm(capacity: Int, objectives: List<Objective> = emptyList()): Simulation {
        val simulation =
            Simulation(
                17,
                OperatorSettings(idleReturnS = 900.0),
                size = SimulationSize(capacity = capacity),
                objectives = objectives,
            ).withReliableNetwork()
        simulation.begin(0, 1, machines = 0)
        repeat(capacity) { simulation.cloud.add(simulation.types[0], simulation.zones[it % 2], false, 0) }
        return simulation
    }

    /** This job, but free to run on any machine that is no spot machine. */
    private fun JobSpec.unconstrained() =
        copy(types = null, zone = null, together = false, spread = false, spotAllowed = false)

    private fun Simulation.assertDone(jobs: Int) {
        assertEquals(emptyList<String>(), rules.violations)
        assertEquals(jobs, rules.doneCount, "it still waits: ${rules.pending()}")
    }

    // Machines on which a job had failed were kept from it for good, though what was wrong there was over.
    @Test
    fun `a job that failed on every machine runs once they are healthy again`() {
        val simulation = calm(capacity = 3)
        simulation.clock.runUntil(8000)
        // One long task on each machine, so that none idles and is exchanged for another.
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

    // Room for as much urgent work as comes at a time was kept free from other work without end.
    @Test
    fun `room that is kept for urgent work is not kept from a job that waits long`() {
        val simulation = calm(capacity = 2, objectives = listOf(Objective("wait", "urgent", 3.0, 0.9)))
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

    // Room kept for services was kept without end as well; seed 1046 of the days with services among the jobs.
    @Test
    fun `room that is kept for services is not kept from a job that waits long`() {
        val simulation = calm(capacity = 2)
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
