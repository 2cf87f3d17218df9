package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Effect

/**
 * Moves attempts through their phases from the reservation until they run, and publishes [AttemptEvents]. An attempt
 * may be started only once its dispatch marker is durable. Called by [AttemptReconciler]; [AttemptOutcomes] handles
 * exits.
 */
internal class AttemptLifecycle(
    private val context: CoreContext,
    private val reservations: AttemptReservations,
    private val events: AttemptEvents,
) {
    /** The markers of [attempts] are durable: attempts may be started, or are resolved if their machine is not up. */
    fun onMarkersPersisted(attempts: List<Attempt>) {
        val machines = LinkedHashSet<Machine>()
        for (attempt in attempts) {
            if (attempt.resolved) continue
            attempt.markerPersisted()
            if (attempt.machine.state == Machine.State.UP) {
                machines.add(attempt.machine)
            } else {
                reservations.resolve(attempt)
            }
        }
        machines.forEach(events::onStartsReady)
    }

    /** The state service rejected the markers of [attempts]: no start was sent, and their tasks are pending again. */
    fun onMarkersRejected(attempts: List<Attempt>) = attempts.forEach(reservations::resolve)

    /** Resolves an attempt that will not be started, unless a direct start of it may still be carried out. */
    fun withdraw(attempt: Attempt) {
        if (!attempt.directStartOutcomeUnknown) reservations.resolve(attempt)
    }

    /** The attempt's machine lists the attempt in [phase]: fetching, running or saving. */
    fun onPhaseObserved(attempt: Attempt, phase: Attempt.Phase) {
        if (attempt.phase == Attempt.Phase.EXITED || attempt.phase == phase) return
        val machine = attempt.machine
        if (attempt.phase == Attempt.Phase.START_SENT && !attempt.inherited) events.onStartObserved(machine)
        val wasRunning = attempt.running
        attempt.entered(phase, context.steady)
        if (phase == Attempt.Phase.RUNNING && attempt.job.image >= 0) machine.cachedImages.add(attempt.job.image)
        if (attempt.running && !wasRunning) onRunning(attempt)
        if (!attempt.running && wasRunning) attempt.job.tasks.runEnded()
    }

    private fun onRunning(attempt: Attempt) {
        val job = attempt.job
        job.tasks.runStarted()
        val startMs = context.steady - attempt.placedAtMs
        val waitMs = context.now.wall - job.acceptedWallMs
        context.emit(Effect.Timing("start", startMs))
        if (job.tasks.running == 1 && job.progress.doneCount == 0) context.emit(Effect.Timing("wait", waitMs))
        val task = "${job.spec.id}/${attempt.index} (${job.spec.workload})"
        val where = attempt.machine.name + if (attempt.imageWasCached) ", image cached" else ""
        context.debug("$task runs $waitMs ms after it was accepted, $startMs ms after it was placed on $where")
    }
}
