package org.chalkhollow.simulation

import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.Priority
import org.chalkhollow.model.Resources
import org.chalkhollow.model.Shape

/** Generates random jobs and services. */
class RandomJobs(private val simulation: Simulation) {
    private val clock = simulation.clock
    private var nextNumber = 0

    /** A job array of 1 to 13 small tasks. */
    fun nextJob(): JobSpec {
        val id = "j-" + (clock.random.nextInt(1_000_000)).toString().padStart(6, '0') + (nextNumber++)
        val zone = if (clock.chance(0.1)) simulation.zones[clock.random.nextInt(2)] else null
        val checkpointS = if (clock.chance(0.3)) 2.0 else 0.0
        return JobSpec(
            id = id,
            workload = "w" + clock.random.nextInt(3),
            team = simulation.settings.teams[clock.random.nextInt(2)].name,
            shape = Shape.ARRAY,
            priority = Priority.entries[clock.random.nextInt(4)],
            tasks = clock.random.nextInt(1, 14),
            taskResources = Resources(clock.random.nextInt(1, 5).toDouble(), 0.0, 4.0),
            image = "img-" + clock.random.nextInt(3),
            imageGb = 1.0,
            types = if (clock.chance(0.1)) listOf(simulation.types[clock.random.nextInt(2)].name) else null,
            zone = zone,
            together = zone == null && clock.chance(0.15),
            spread = clock.chance(0.15),
            spotAllowed = clock.chance(0.7),
            expectedS = 1.0 + clock.random.nextInt(15),
            checkpointS = checkpointS,
            saveS = 1.0,
            dueS = if (clock.chance(0.5)) 60.0 else null,
        )
    }

    /** A service of two to four small replicas, spread over zones and not on spot machines. */
    fun nextService(): JobSpec =
        nextJob().copy(
            workload = "portal",
            shape = Shape.SERVICE,
            priority = Priority.PRODUCTION,
            tasks = clock.random.nextInt(2, 5),
            taskResources = Resources(1.0, 0.0, 1.6),
            types = null,
            zone = null,
            together = false,
            spread = true,
            spotAllowed = false,
            expectedS = 0.0,
            checkpointS = 0.0,
            saveS = 0.0,
            dueS = null,
        )
}
