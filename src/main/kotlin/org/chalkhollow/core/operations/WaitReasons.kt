package org.chalkhollow.core.operations

import org.chalkhollow.core.cluster.HoldReason
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.jobs.Quotas
import org.chalkhollow.core.placement.Placement
import org.chalkhollow.core.storage.StateWriter

/** Explains to operators why tasks of a job are pending. Stateless; called by [JobReport]. */
internal class WaitReasons(
    private val context: CoreContext,
    private val writer: StateWriter,
    private val quotas: Quotas,
    private val fleet: Fleet,
    private val placement: Placement,
    private val heldTasks: HeldTasks,
) {
    /** The reasons why tasks of [job] that could be started are not; empty if it has no such tasks. */
    fun of(job: OpenJob): List<String> {
        val writerStalled =
            "the state service takes no writes, and nothing starts without a marker".takeIf { writer.isStalled() }
        if (job.tasks.noneReady) {
            val inFlight = heldTasks.reasonOf(job) ?: return emptyList()
            return listOfNotNull(writerStalled, inFlight.text)
        }
        val reasons =
            listOfNotNull(
                writerStalled,
                "it is being cancelled".takeIf { job.cancelling },
                backoff(job),
                HoldReason.TEAM_LIMIT.text.takeIf { isTeamAtLimit(job) },
                machineShortage(job),
            )
        return (reasons + listOfNotNull(holdText(job, reasons))).ifEmpty { listOf("other work goes first") }
    }

    /** The text of the reason that the last placement round found, unless one of [others] says the same. */
    private fun holdText(job: OpenJob, others: List<String>): String? {
        val reason = heldTasks.reasonOf(job) ?: return null
        val impliedByOthers = reason == HoldReason.NO_CAPACITY || reason == HoldReason.FAILURE_BACKOFF
        return reason.text.takeUnless { it in others || impliedByOthers && others.isNotEmpty() }
    }

    private fun backoff(job: OpenJob): String? {
        val remainingMs = job.backoff.notBeforeMs - context.steady
        return if (remainingMs > 0) "its tasks fail; tried again in ${remainingMs / MS_IN_S} s" else null
    }

    private fun isTeamAtLimit(job: OpenJob): Boolean =
        quotas.headroom(job.team, job.taskResources, Machine.NO_RESOURCES) <= 0

    private fun machineShortage(job: OpenJob): String? {
        val usable = fleet.placeable().filter { placement.mayUse(job, it) }
        return when {
            usable.isEmpty() -> "no machine that it may use is up"
            usable.none { job.taskResources.fitsIn(it.freeCapacity(fleet.types)) } ->
                "the ${usable.size} machines that it may use have no room for a task"
            else -> null
        }
    }
}

/** An integer, because the status shows whole seconds. */
internal const val MS_IN_S = 1000L
