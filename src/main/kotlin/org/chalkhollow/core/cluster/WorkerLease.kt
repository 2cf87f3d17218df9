package org.chalkhollow.core.cluster

/**
 * Owns the epoch of one machine's worker and the lease that our responses renew. An epoch is one incarnation of the
 * worker: it ends when the lease expires or the worker restarts, and everything that ran in it ends with it. Heartbeats
 * of earlier epochs, and of one whose lease has expired, mean nothing. `Fleet` begins and expires epochs,
 * `HeartbeatHandler` renews the lease, and both it and `WorkerCommandSender` advance [statusSeq].
 */
class WorkerLease {
    var epoch = 0L
        private set

    /** The newest status of this epoch that was taken in, from a heartbeat or from the reply to a direct command. */
    var statusSeq = NO_SEQ
        private set

    /** The newest heartbeat of this epoch that was answered; replies to direct commands count in [statusSeq] only. */
    var answeredSeq = NO_SEQ
        private set

    /** The newest fencing token that the worker has shown. */
    var fencingToken = 0L
        private set

    /** When the last heartbeat that we answered came in; the lease ends at most its length after that. */
    var answeredAtMs = Machine.NEVER
        private set

    /** When the newest heartbeat came in. */
    var heartbeatAtMs = Machine.NEVER
        private set

    /** Heartbeats of epochs up to this one were sent before the lease expired. */
    private var expiredEpoch = NO_SEQ

    /** Whether [other] has certainly ended. */
    fun hasEnded(other: Long): Boolean = other <= expiredEpoch || other < epoch

    /** An earlier leader may have answered the worker until [at]. */
    fun assumeAnsweredUntil(at: Long) {
        answeredAtMs = at
    }

    fun beginEpoch(newEpoch: Long) {
        epoch = newEpoch
        statusSeq = NO_SEQ
        answeredSeq = NO_SEQ
    }

    /** A heartbeat that shows [token] and is newer than all before it came in [at] this time. */
    fun recordHeartbeat(token: Long, at: Long) {
        heartbeatAtMs = at
        fencingToken = maxOf(fencingToken, token)
    }

    /**
     * The heartbeat [seq] is answered at [now]. The worker's lease runs from when it sent this heartbeat, which is not
     * after now. One that is no newer than another that we answered was sent before it and renews nothing: late copies
     * must not keep a dead machine alive. The reply to a direct command does not count here, since a heartbeat sent
     * after it may come before it.
     */
    fun renew(seq: Long, now: Long) {
        if (seq <= answeredSeq) return
        answeredSeq = seq
        answeredAtMs = now
    }

    /** Whether the status [seq] is newer than all that were taken in; it is the newest from now on. */
    fun advanceStatus(seq: Long): Boolean {
        if (seq <= statusSeq) return false
        statusSeq = seq
        return true
    }

    /** The lease of the present epoch has certainly expired, or the machine is deleted. */
    fun expire() {
        expiredEpoch = maxOf(epoch, expiredEpoch)
    }

    private companion object {
        const val NO_SEQ = -1L
    }
}
