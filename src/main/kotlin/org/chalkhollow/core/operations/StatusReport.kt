package org.chalkhollow.core.operations

import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.core.jobs.Quotas
import org.chalkhollow.core.leadership.Leadership
import org.chalkhollow.core.placement.Placement
import org.chalkhollow.core.storage.StateWriter
import org.chalkhollow.model.JobState
import org.chalkhollow.model.Team

/** Owns nothing: puts together what operators are told, from what the owners know. */
internal class StatusReport(
    private val context: CoreContext,
    private val label: String,
    private val peers: List<String>,
    private val teams: List<Team>,
    private val leadership: Leadership,
    private val jobs: JobTable,
    private val quotas: Quotas,
    private val fleet: Fleet,
    private val placement: Placement,
    private val names: Interners,
    private val log: StateWriter,
    private val versions: ControllerVersions,
) {
    fun status(ready: Boolean): StatusView {
        val leads = leadership.entitled()
        val leader = if (leads) label else leadership.reachableLeader().takeIf { it >= 0 }?.let(peers::get)
        val controllers = versions.all.map { (name, version) -> ControllerView(name, version) }
        if (!leads || !ready) {
            return StatusView(
                label,
                leads,
                leader,
                leadership.fencingToken,
                ready && leads,
                controllers = controllers,
                allNew = versions.allNew,
            )
        }
        return StatusView(
            label,
            true,
            leader,
            leadership.fencingToken,
            true,
            jobs.size,
            jobs.open.size,
            classes(),
            teams.mapIndexed { i, t -> TeamView(t.name, quotas.usedCpus(i), t.cpus, t.cpusMax) },
            machines(),
            controllers,
            versions.allNew,
            services(),
        )
    }

    private fun classes(): List<ClassView> =
        jobs.open.groupBy { it.spec.workload }.toSortedMap().map { (name, some) ->
            val oldest = some.maxOf { context.now.wall - it.acceptedWall } / MS_IN_S
            ClassView(name, some.size, some.sumOf { it.tasks.readyCount }, some.sumOf { it.tasks.liveCount }, oldest)
        }

    private fun services(): List<ServiceView> =
        jobs.open
            .filter { it.service && !it.cancelling }
            .groupBy { it.spec.workload }
            .toSortedMap()
            .map { (name, some) -> service(name, some) }

    private fun service(name: String, some: List<OpenJob>): ServiceView {
        val lacking = some.filter { it.tasks.running < it.spec.tasks }.sortedBy { it.acceptedWall }.take(MAX_EXPLAINED)
        val down = lacking.map { "${it.spec.id}: ${whyDown(it)}" }
        return ServiceView(name, some.size, some.sumOf { it.spec.tasks }, some.sumOf { it.tasks.running }, down)
    }

    private fun whyDown(job: OpenJob): String {
        val why = if (job.tasks.noneReady) emptyList() else reasons(job)
        val doubtful = job.tasks.liveCount - job.tasks.running
        val doubt = "$doubtful begin, or are not yet proved gone where they were".takeIf { doubtful > 0 }
        return (why + listOfNotNull(doubt)).joinToString("; ")
    }

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

    /** Machines that are alike to an operator. */
    private data class Like(val type: String, val zone: String, val spot: Boolean, val state: String)

    private fun machines(): List<MachineView> =
        fleet.machines
            .filter { it.type >= 0 }
            .groupingBy { m -> Like(names.types.name(m.type), names.zones.name(m.zone), m.spot, state(m)) }
            .eachCount()
            .map { (like, count) -> MachineView(like.type, like.zone, like.spot, like.state, count) }
            .sortedBy { it.toString() }

    private fun state(m: Machine): String =
        when {
            m.state != Machine.State.UP -> m.state.name.lowercase()
            !m.reachable -> "deaf"
            m.noticeAt != Machine.NEVER -> "noticed"
            m.draining || m.cordoned -> "draining"
            m.vacant -> "idle"
            else -> "busy"
        }

    /** One job, or null when this controller does not know it. */
    fun job(id: String): JobView? {
        val entry = jobs.find(id) ?: return null
        val job = entry.open
        val state = entry.state?.name?.lowercase() ?: "being accepted"
        if (job == null) {
            val done = if (entry.state == JobState.DONE) entry.tasks else 0
            return JobView(id, state, entry.tasks, done, 0, 0, emptyList())
        }
        val waitsFor = if (job.tasks.noneReady) emptyList() else reasons(job)
        return JobView(
            id,
            state,
            job.spec.tasks,
            job.progress.doneCount,
            job.tasks.running,
            job.tasks.liveCount,
            waitsFor,
        )
    }

    private fun reasons(job: OpenJob): List<String> {
        val out = ArrayList<String>()
        if (log.stalled()) out.add("the state service takes no writes, and nothing starts without a marker")
        if (job.cancelling) out.add("it is being cancelled")
        val pauseMs = job.backoff.notBefore - context.steady
        if (pauseMs > 0) out.add("its tasks fail; tried again in ${pauseMs / MS_IN_S} s")
        if (quotas.headroom(job.team, job.taskResources, Machine.NOTHING) <= 0) out.add("its team is at its limit")
        val fits = fleet.placeable().filter { placement.mayUse(job, it) }
        if (fits.isEmpty()) {
            out.add("no machine that it may use is up")
        } else if (fits.none { job.taskResources.fitsIn(it.room(fleet.types)) }) {
            out.add("the ${fits.size} machines that it may use have no room for a task")
        }
        return out.ifEmpty { listOf("other work goes first") }
    }

    private companion object {
        const val MAX_EXPLAINED = 3
        const val MS_IN_S = 1000L
    }
}
