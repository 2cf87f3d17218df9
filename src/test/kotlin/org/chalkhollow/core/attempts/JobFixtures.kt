package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.JobEntry
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.Priority
import org.chalkhollow.model.Resources
import org.chalkhollow.model.Shape

/** A job of team `t` whose tasks take one CPU each. */
internal fun jobSpec(id: String, shape: Shape = Shape.ARRAY, tasks: Int = 10) =
    JobSpec(
        id = id,
        workload = "w",
        team = "t",
        shape = shape,
        priority = Priority.STANDARD,
        tasks = tasks,
        taskResources = Resources(1.0, 0.0, 1.0),
        image = "i",
        imageGb = 1.0,
        types = null,
        zone = null,
        together = false,
        spread = false,
        spotAllowed = true,
        expectedS = 5.0,
        checkpointS = 0.0,
        saveS = 0.0,
        dueS = null,
    )

/** An open job on its own, in no job table. */
internal fun openJob(id: String, shape: Shape = Shape.ARRAY, tasks: Int = 10): OpenJob =
    OpenJob(JobEntry(0, tasks), jobSpec(id, shape, tasks), 0, -1, types = null, -1, 0, tasksPerPage = 8192)
