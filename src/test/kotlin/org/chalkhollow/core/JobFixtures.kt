package org.chalkhollow.core

import org.chalkhollow.core.cluster.JobEntry
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.core.storage.TransactionBudget
import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.Priority
import org.chalkhollow.model.Resources
import org.chalkhollow.model.Shape

/** A job of team `t` whose tasks need one CPU each. Tests change the fields that they examine with `copy`. */
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

/** A service of team `t` whose replicas need one CPU each. */
internal fun serviceSpec(id: String, tasks: Int): JobSpec =
    jobSpec(id, Shape.SERVICE, tasks).copy(workload = "portal", priority = Priority.PRODUCTION, expectedS = 0.0)

/** An open job that is in no job table. */
internal fun openJob(id: String, shape: Shape = Shape.ARRAY, tasks: Int = 10): OpenJob =
    openJob(jobSpec(id, shape, tasks))

/** An open job of [spec] that is in no job table. */
internal fun openJob(spec: JobSpec): OpenJob =
    OpenJob(JobEntry(0, spec.tasks), spec, 0, -1, types = null, -1, 0, tasksPerPage = 8192)

/** Accepts a job of [spec] and confirms its record as durable. */
internal fun JobTable.acceptDurably(spec: JobSpec): OpenJob {
    accept(spec, onRejected = {}) {}
    urgentWrites
        .next(TransactionBudget(10, 10_000))
        ?.onDurable
        ?.invoke()
    return checkNotNull(find(spec.id)?.open)
}
