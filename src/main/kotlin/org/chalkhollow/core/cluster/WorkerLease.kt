package org.chalkhollow.core.cluster

/**
 * Owns the epoch of one machine's worker and the lease that responses to its heartbeats renew. An epoch ends when the
 * lease expires or the worker restarts, and all tasks that ran in it end with it. Heartbeats of earlier epochs, and of
 * an epoch whose lease has expired, are dropped. `Fleet` begins and expires epochs. `HeartbeatHandler` renews the
 * lease. `HeartbeatHandler` and `WorkerCommandSender` advance [statusSeq].
 */
class WorkerLease {
    var epoch = 0L
        private set

    /** The newest status of this epoch that was handled, from a heartbeat or from the reply to a direct command. */
    var statusSeq = NO_SEQ
        private set

    /** The newest heartbeat of this epoch that got a response; replies to direct commands count only in [statusSeq]. */
    var respondedSeq = NO_SEQ
        private set

    /** The newest fencing token in the worker's heartbeats. */
    var fencingToken = 0L
        private set

    /** When the last heartbeat that got a response arrived. The lease expires at most one lease duration later. */
    var respondedAtMs = Machine.NEVER
        private set

    /** When the newest heartbeat arrived. */
    var heartbeatAtMs = Machine.NEVER
        private set

    /** The newest epoch whose lease has expired. Heartbeats up to this epoch were sent before that. */
    private var expiredEpoch = NO_SEQ

    /** Whether [other] has certainly ended. */
    fun hasEnded(other: Long): Boolean = other <= expiredEpoch || other < epoch

    /** An earlier leader may have responded to the worker until [at]. */
    fun assumeRespondedUntil(at: Long) {
        respondedAtMs = at
    }

    fun beginEpoch(newEpoch: Long) {
        epoch = newEpoch
        statusSeq = NO_SEQ
        respondedSeq = NO_SEQ
    }

    /** A heartbeat with the fencing token [token] arrived [at] this time; it is newer than all before it. */
    fun recordHeartbeat(token: Long, at: Long) {
        heartbeatAtMs = at
        fencingToken = maxOf(fencingToken, token)
    }

    /**
     * The heartbeat [seq] gets a response at [now]. The worker's lease runs from when it sent this heartbeat, which is
     * not after [now]. A heartbeat that is not newer than the last one with a response renews nothing, so that late
     * copies do not renew the lease of a dead machine. Replies to direct commands do not count here, because a
     * heartbeat that was sent later may arrive earlier.
     */
    fun renew(seq: Long, now: Long) {
        if (seq <= respondedSeq) return
        respondedSeq = seq
        respondedAtMs = now
    }

    /** Records the status [seq] and returns true if it is newer than all that were handled, else returns false. */
    fun advanceStatus(seq: Long): Boolean {
        if (seq <= statusSeq) return false
        statusSeq = seq
        return true
    }

    /** The lease of the current epoch has certainly expired, or the machine is deleted. */
    fun expire() {
        expiredEpoch = maxOf(epoch, expiredEpoch)
    }

    private companion object {
        const val NO_SEQ = -1L
    }
}
