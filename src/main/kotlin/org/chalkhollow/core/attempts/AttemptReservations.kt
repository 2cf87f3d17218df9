package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.DispatchMarker
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.jobs.Quotas

/**
 * Owns what attempts occupy: capacity of their machine, a part of the team's quota, their task, and the marker that
 * lists them. Each is taken once, by a reservation, and returned once: at the exit or, if no exit is seen, when the
 * attempt is resolved. Called by the other parts of [AttemptReconciler].
 */
internal class AttemptReservations(
    private val context: CoreContext,
    private val quotas: Quotas,
    private val events: AttemptEvents,
) {
    /** CPUs that attempts occupy on the credit of their jobs, see `StarvationPrevention`; replicas do not count. */
    var creditCpus = 0.0
        private set

    fun clear() {
        creditCpus = 0.0
    }

    /** Reserves an attempt that a placement round has decided on. It is started once [marker] is durable. */
    fun reserve(
        job: OpenJob,
        index: Int,
        number: Long,
        machine: Machine,
        marker: DispatchMarker?,
        fromCredit: Boolean,
    ): Attempt {
        // A replica never ends by itself, so other starved jobs would lose its part of the credit permanently.
        val countsAsCredit = fromCredit && !job.service
        return occupy(Attempt(job, index, number, machine, marker, countsAsCredit, inherited = false, context.steady))
    }

    /** Reserves an attempt that an earlier leader may have started. */
    fun reserveInherited(job: OpenJob, index: Int, number: Long, machine: Machine, marker: DispatchMarker?): Attempt =
        occupy(Attempt(job, index, number, machine, marker, fromCredit = false, inherited = true, context.steady))

    private fun occupy(attempt: Attempt): Attempt {
        val job = attempt.job
        if (attempt.fromCredit) creditCpus += job.taskResources.cpus
        attempt.machine.attempts.add(attempt)
        attempt.machine.usage.allocate(job.taskResources)
        job.tasks.attemptReserved(attempt.index)
        quotas.add(job.team, job.taskResources)
        attempt.marker?.hold()
        return attempt
    }

    /**
     * The attempt is no longer on its machine: frees its capacity and quota. Its task is pending again unless the task
     * is done or has another attempt.
     */
    fun release(attempt: Attempt) {
        val job = attempt.job
        if (attempt.running) job.tasks.runEnded()
        quotas.remove(job.team, job.taskResources)
        attempt.machine.usage.release(job.taskResources)
        if (attempt.fromCredit) creditCpus -= job.taskResources.cpus
        context.changed()
        job.tasks.attemptReleased(attempt.index)
    }

    /** The attempt does not run anywhere and will not start later: stops tracking it. */
    fun resolve(attempt: Attempt) {
        if (attempt.resolved) return
        if (attempt.phase != Attempt.Phase.EXITED) release(attempt)
        attempt.resolve()
        attempt.machine.attempts.remove(attempt)
        if (!attempt.outcomeRecorded) releaseMarker(attempt)
    }

    /** The attempt's outcome is durable or needs no record: the worker may forget the attempt. */
    fun outcomeRecorded(attempt: Attempt) {
        if (attempt.outcomeRecorded) return
        attempt.markOutcomeRecorded()
        releaseMarker(attempt)
    }

    private fun releaseMarker(attempt: Attempt) {
        attempt.marker?.let(events::onMarkerReleased)
    }
}
