package org.chalkhollow.core.operations

import org.chalkhollow.core.cluster.JobEntry
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.model.JobState

/** What the status report shows of jobs and services. Owns nothing; called by [StatusReport] and for gauges. */
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
        wantedServices().groupBy { it.spec.workload }.toSortedMap().map { (name, services) -> view(name, services) }

    private fun wantedServices(): List<OpenJob> = jobs.open.filter { it.service && !it.cancelling }

    private fun view(name: String, services: List<OpenJob>): ServiceView {
        val lacking = services.filter { it.tasks.running < it.spec.tasks }.sortedBy { it.acceptedWallMs }
        return ServiceView(
            name = name,
            services = services.size,
            wanted = services.sumOf { it.spec.tasks },
            up = services.sumOf { it.tasks.running },
            down = lacking.take(MAX_EXPLAINED).map { "${it.spec.id}: ${whyDown(it)}" },
        )
    }

    private fun whyDown(service: OpenJob): String {
        val inDoubt = service.tasks.liveCount - service.tasks.running
        val doubt = "$inDoubt begin, or are not yet proved gone where they were".takeIf { inDoubt > 0 }
        return (waitReasons.of(service) + listOfNotNull(doubt)).joinToString("; ")
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

    /** One job, or null when this controller does not know it. */
    fun job(id: String): JobView? {
        val entry = jobs.find(id) ?: return null
        val state = entry.state?.name?.lowercase() ?: "being accepted"
        return entry.open?.let { openJob(id, state, it) } ?: closedJob(id, state, entry)
    }

    private fun openJob(id: String, state: String, job: OpenJob) =
        JobView(
            id = id,
            state = state,
            tasks = job.spec.tasks,
            done = job.progress.doneCount,
            running = job.tasks.running,
            live = job.tasks.liveCount,
            waitsFor = waitReasons.of(job),
        )

    private fun closedJob(id: String, state: String, entry: JobEntry) =
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
        /** So many services of a class that lack replicas are explained. */
        const val MAX_EXPLAINED = 3
    }
}
