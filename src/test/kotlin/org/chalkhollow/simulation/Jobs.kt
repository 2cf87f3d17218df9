package org.chalkhollow.simulation

import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.Priority
import org.chalkhollow.model.Resources

/** This job without a wish for a machine type or zone, and without a rule on how its tasks are spread. */
fun JobSpec.unconstrained(): JobSpec = copy(types = null, zone = null, together = false, spread = false)

/** This job on any machine, also a spot machine. */
fun JobSpec.anywhere(): JobSpec = unconstrained().copy(spotAllowed = true)

/** Batch work of [tasks] tasks of [cpus] CPUs and 1 GB that may run anywhere and keep no checkpoints. */
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
