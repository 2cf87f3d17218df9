package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.core.placement.ReplicaMigration

/**
 * Records spot termination notices, and gracefully stops the attempts on machines that are reclaimed. Called by
 * [Fleet].
 */
class SpotTerminationNotices(private val context: CoreContext) {
    /**
     * A heartbeat of [machine] says that the cloud reclaims it in [noticeS] seconds; null if it says that it does not.
     */
    fun onHeartbeat(machine: Machine, noticeS: Double?) {
        val availability = machine.availability
        if (noticeS == null) {
            availability.withdrawSpotNotice()
            return
        }
        if (!availability.hasSpotNotice) context.changed()
        availability.recordSpotNotice(context.steady + (noticeS * MS_PER_S).toLong())
        stopAttempts(machine)
    }

    /**
     * Stops attempts that can write a checkpoint, so that they write it now, and those that certainly cannot end in
     * time, so that they start elsewhere at once. Left alone they would be lost, which is known only when the lease has
     * expired.
     */
    private fun stopAttempts(machine: Machine) {
        val remainingS = (machine.availability.reclaimAtMs - context.steady) / MS_PER_S
        for (attempt in machine.attempts) {
            if (!attempt.onMachine || attempt.stopRequested) continue
            if (attempt.job.service) continue // [ReplicaMigration] moves replicas
            if (savesCheckpoint(attempt) || !endsWithin(attempt, remainingS)) attempt.requestStop()
        }
    }

    private fun savesCheckpoint(attempt: Attempt): Boolean =
        attempt.job.spec.checkpointS > 0 && attempt.phase == Attempt.Phase.RUNNING

    private fun endsWithin(attempt: Attempt, seconds: Double): Boolean =
        attempt.inherited || attempt.minRemainingS(context.steady) <= seconds
}
