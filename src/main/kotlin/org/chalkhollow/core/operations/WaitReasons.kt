package org.chalkhollow.core.operations

import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.jobs.Quotas
import org.chalkhollow.core.placement.Placement
import org.chalkhollow.core.storage.StateWriter

/** Explains to operators why tasks of a job wait. Owns nothing; called by [JobReport]. */
internal class WaitReasons(
    private val context: CoreContext,
    private val writer: StateWriter,
    private val quotas: Quotas,
    private val fleet: Fleet,
    private val placement: Placement,
) {
    /** Why ready tasks of [job] are not placed now; empty when it has none. */
    fun of(job: OpenJob): List<String> {
        if (job.tasks.noneReady) return emptyList()
        val reasons =
            listOfNotNull(
                "the state service takes no writes, and nothing starts without a marker".takeIf { writer.isStalled() },
                "it is being cancelled".takeIf { job.cancelling },
                backoff(job),
                "its team is at its limit".takeIf { atLimit(job) },
                lackOfMachines(job),
            )
        return reasons.ifEmpty { listOf("other work goes first") }
    }

    private fun backoff(job: OpenJob): String? {
        val leftMs = job.backoff.notBeforeMs - context.steady
        return if (leftMs > 0) "its tasks fail; tried again in ${leftMs / MS_IN_S} s" else null
    }

    private fun atLimit(job: OpenJob): Boolean = quotas.headroom(job.team, job.taskResources, Machine.NO_RESOURCES) <= 0

    private fun lackOfMachines(job: OpenJob): String? {
        val usable = fleet.placeable().filter { placement.mayUse(job, it) }
        return when {
            usable.isEmpty() -> "no machine that it may use is up"
            usable.none { job.taskResources.fitsIn(it.freeCapacity(fleet.types)) } ->
                "the ${usable.size} machines that it may use have no room for a task"
            else -> null
        }
    }
}

/** Whole seconds are shown to operators. */
internal const val MS_IN_S = 1000L
