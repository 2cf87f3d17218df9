package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.core.placement.ReplicaMigration

/** Takes in spot notices, and starts the graceful eviction of what runs on a reclaimed machine. Called by [Fleet]. */
class SpotNotices(private val context: CoreContext) {
    /** A heartbeat of [machine] says that the cloud reclaims it in [noticeS] seconds, or that it does not. */
    fun onHeartbeat(machine: Machine, noticeS: Double?) {
        val availability = machine.availability
        if (noticeS == null) {
            availability.withdrawSpotNotice()
            return
        }
        if (!availability.hasSpotNotice) context.changed()
        availability.recordSpotNotice(context.steady + (noticeS * MS_PER_S).toLong())
        evict(machine)
    }

    /**
     * What can write a checkpoint does so now, and what will certainly not end in time starts elsewhere at once: it
     * would be lost here, and known to be lost only when the lease has expired.
     */
    private fun evict(machine: Machine) {
        val leftS = (machine.availability.reclaimAtMs - context.steady) / MS_PER_S
        for (attempt in machine.attempts) {
            if (!attempt.onMachine || attempt.stopRequested) continue
            if (attempt.job.service) continue // replicas are moved by [ReplicaMigration]
            if (savesCheckpoint(attempt) || !endsWithin(attempt, leftS)) attempt.requestStop()
        }
    }

    private fun savesCheckpoint(attempt: Attempt): Boolean =
        attempt.job.spec.checkpointS > 0 && attempt.phase == Attempt.Phase.RUNNING

    private fun endsWithin(attempt: Attempt, seconds: Double): Boolean =
        attempt.inherited || attempt.minRemainingS(context.steady) <= seconds
}
