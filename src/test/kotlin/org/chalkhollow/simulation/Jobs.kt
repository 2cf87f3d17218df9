package org.chalkhollow.simulation

import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.Priority
import org.chalkhollow.model.Resources

/** This job without constraints on machine types, zones or the placement of its tasks in zones. */
fun JobSpec.unconstrained(): JobSpec = copy(types = null, zone = null, together = false, spread = false)

/** This job without placement constraints, also allowed on spot machines. */
fun JobSpec.anywhere(): JobSpec = unconstrained().copy(spotAllowed = true)

/** This job with [tasks] tasks of [cpus] CPUs and 1 GB that may run anywhere and have no checkpoints. */
fun JobSpec.asBatch(team: String, tasks: Int, cpus: Double, expectedS: Double): JobSpec =
    anywhere().copy(
        team = team,
        workload = "batch",
        priority = Priority.STANDARD,
        tasks = tasks,
        taskResources = Resources(cpus, 0.0, 1.0),
        expectedS = expectedS,
        checkpointS = 0.0,
        dueS = null,
    )
