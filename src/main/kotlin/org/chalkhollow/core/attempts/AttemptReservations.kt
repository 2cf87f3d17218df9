package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.DispatchMarker
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.jobs.Quotas

/**
 * Owns what attempts hold: room on their machine, their part of the team's limit, their task, and the marker that lists
 * them. Each is taken once, by a reservation, and given back once: by the exit or, without one, when the attempt is
 * resolved. Called by the other parts of [AttemptReconciler].
 */
internal class AttemptReservations(
    private val context: CoreContext,
    private val quotas: Quotas,
    private val events: AttemptEvents,
) {
    /** CPUs held by attempts that were given to jobs that had been passed over. */
    var creditCpus = 0.0
        private set

    fun clear() {
        creditCpus = 0.0
    }

    /** An attempt that a placement round has decided on; it is started once [marker] is durable. */
    fun reserve(
        job: OpenJob,
        index: Int,
        number: Long,
        machine: Machine,
        marker: DispatchMarker?,
        fromCredit: Boolean,
    ): Attempt {
        // A replica never ends: what it is given would be missing from the share of passed over work for good.
        val countsAsCredit = fromCredit && !job.service
        return hold(Attempt(job, index, number, machine, marker, countsAsCredit, inherited = false, context.steady))
    }

    /** An attempt that an earlier leader may have started. */
    fun reserveInherited(job: OpenJob, index: Int, number: Long, machine: Machine, marker: DispatchMarker?): Attempt =
        hold(Attempt(job, index, number, machine, marker, fromCredit = false, inherited = true, context.steady))

    private fun hold(attempt: Attempt): Attempt {
        val job = attempt.job
        if (attempt.fromCredit) creditCpus += job.taskResources.cpus
        attempt.machine.attempts.add(attempt)
        attempt.machine.usage.allocate(job.taskResources)
        job.tasks.attemptReserved(attempt.index)
        quotas.add(job.team, job.taskResources)
        attempt.marker?.hold()
        return attempt
    }

    /** The attempt is on its machine no more: others may have its room, and its task is ready unless it is done. */
    fun release(attempt: Attempt) {
        val job = attempt.job
        if (attempt.running) job.tasks.runEnded()
        quotas.remove(job.team, job.taskResources)
        attempt.machine.usage.release(job.taskResources)
        if (attempt.fromCredit) creditCpus -= job.taskResources.cpus
        context.changed()
        job.tasks.attemptReleased(attempt.index)
    }

    /** The attempt runs nowhere and never will: nothing is known of it from now on. */
    fun resolve(attempt: Attempt) {
        if (attempt.resolved) return
        if (attempt.phase != Attempt.Phase.EXITED) release(attempt)
        attempt.resolve()
        attempt.machine.attempts.remove(attempt)
        if (!attempt.outcomeRecorded) releaseMarker(attempt)
    }

    /** The attempt's outcome is durable, or needs no record: its worker may forget it. */
    fun outcomeRecorded(attempt: Attempt) {
        if (attempt.outcomeRecorded) return
        attempt.markOutcomeRecorded()
        releaseMarker(attempt)
    }

    private fun releaseMarker(attempt: Attempt) {
        attempt.marker?.let(events::onMarkerReleased)
    }
}
