package org.chalkhollow.core.operations

import org.chalkhollow.core.cluster.JobEntry
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.model.JobState

/** Builds the part of the status report on jobs and services. Stateless; called by [StatusReport] and for gauges. */
internal class JobReport(
    private val context: CoreContext,
    private val jobs: JobTable,
    private val waitReasons: WaitReasons,
) {
    val knownJobs: Int get() = jobs.size
    val openJobs: Int get() = jobs.open.size

    /** The open jobs by class, in the order of the classes' names. */
    fun classes(): List<ClassView> =
        jobs.open
            .groupBy { it.spec.workload }
            .toSortedMap()
            .map { (name, jobsOfClass) -> classView(name, jobsOfClass) }

    private fun classView(name: String, jobsOfClass: List<OpenJob>) =
        ClassView(
            name = name,
            jobs = jobsOfClass.size,
            tasksReady = jobsOfClass.sumOf { it.tasks.readyCount },
            tasksLive = jobsOfClass.sumOf { it.tasks.liveCount },
            oldestS = jobsOfClass.maxOf { context.now.wall - it.acceptedWallMs } / MS_IN_S,
        )

    /** The services by class, in the order of the classes' names. */
    fun services(): List<ServiceView> =
        wantedServices().groupBy { it.spec.workload }.toSortedMap().map { (name, services) ->
            serviceView(name, services)
        }

    private fun wantedServices(): List<OpenJob> = jobs.open.filter { it.service && !it.cancelling }

    private fun serviceView(name: String, services: List<OpenJob>): ServiceView {
        val underReplicated = services.filter { it.tasks.running < it.spec.tasks }.sortedBy { it.acceptedWallMs }
        return ServiceView(
            name = name,
            services = services.size,
            wanted = services.sumOf { it.spec.tasks },
            up = services.sumOf { it.tasks.running },
            down = underReplicated.take(MAX_EXPLAINED_SERVICES).map { "${it.spec.id}: ${whyDown(it)}" },
        )
    }

    private fun whyDown(service: OpenJob): String {
        val unconfirmed = service.tasks.liveCount - service.tasks.running
        val reason = "$unconfirmed begin, or are not yet proved gone where they were".takeIf { unconfirmed > 0 }
        return (waitReasons.of(service) + listOfNotNull(reason)).joinToString("; ")
    }

    /** Replicas of all services. */
    fun replicas(): ReplicaCounts {
        var wanted = 0
        var up = 0
        for (job in jobs.open) {
            if (job.service && !job.cancelling) {
                wanted += job.spec.tasks
                up += job.tasks.running
            }
        }
        return ReplicaCounts(wanted, up)
    }

    /** The status of one job; null if this controller does not know the job. */
    fun job(id: String): JobView? {
        val entry = jobs.find(id) ?: return null
        val state = entry.state?.name?.lowercase() ?: "being accepted"
        return entry.open?.let { openJobView(id, state, it) } ?: closedJobView(id, state, entry)
    }

    private fun openJobView(id: String, state: String, job: OpenJob) =
        JobView(
            id = id,
            state = state,
            tasks = job.spec.tasks,
            done = job.progress.doneCount,
            running = job.tasks.running,
            live = job.tasks.liveCount,
            waitsFor = waitReasons.of(job),
        )

    private fun closedJobView(id: String, state: String, entry: JobEntry) =
        JobView(
            id = id,
            state = state,
            tasks = entry.tasks,
            done = if (entry.state == JobState.DONE) entry.tasks else 0,
            running = 0,
            live = 0,
            waitsFor = emptyList(),
        )

    private companion object {
        /** Of each class, only this many services that lack replicas are listed with their reasons. */
        const val MAX_EXPLAINED_SERVICES = 3
    }
}
