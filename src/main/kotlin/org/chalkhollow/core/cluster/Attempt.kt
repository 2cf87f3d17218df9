package org.chalkhollow.core.cluster

import org.chalkhollow.core.common.MS_PER_S

/**
 * One start of a task, named by job, index and number, on one machine. It counts against its team's limit and its
 * machine until it is known to have exited or is resolved, that is, until it is certain that it runs nowhere and never
 * will. The attempts package makes the transitions; placement and the fleet read it and ask for stops.
 *
 * There are tens of thousands of these, so the state of each stays in plain fields.
 */
class Attempt(
    val job: OpenJob,
    val index: Int,
    val number: Long,
    val machine: Machine,
    val marker: DispatchMarker?,
    /** Given to a job that had been passed over: not to be taken from it again. */
    val fromCredit: Boolean,
    /**
     * Dispatched by an earlier leader, or found on a machine: absence is proof only in a heartbeat at our fencing
     * token.
     */
    val inherited: Boolean,
    val placedAtMs: Long,
) {
    enum class Phase {
        /** Its dispatch marker is not durable yet: nothing may be sent. */
        MARKER_PENDING,

        /** It may be started, and no start that was sent can still be carried out. */
        MARKER_PERSISTED,

        /** A start was sent, or may have been: the attempt may be on its machine. */
        START_SENT,
        FETCHING,
        RUNNING,
        SAVING,
        EXITED,
    }

    /** What is known of a start that went straight to the worker instead of with the response to a heartbeat. */
    private enum class DirectStart { NONE, OUTCOME_UNKNOWN, CONCLUDED }

    /** An earlier leader's start may have been sent, so its attempts begin there. */
    var phase = if (inherited) Phase.START_SENT else Phase.MARKER_PENDING
        private set

    /** When it was placed or, later, was last seen to enter a phase on its machine. */
    var progressAtMs = placedAtMs
        private set

    /** The machine held the image when the attempt was placed. */
    val imageWasCached = job.image in machine.cachedImages

    /** It ended by completing: started once more it would only end once more. */
    var completed = false
        private set

    /** Its outcome is recorded, or needs no record. */
    var outcomeRecorded = false
        private set

    /** It runs nowhere and never will, and what it held is released. */
    var resolved = false
        private set

    /** It is to be stopped for other work or because its machine is about to be gone. */
    var stopRequested = false
        private set

    /** A stop went straight to the worker; the responses to heartbeats repeat it. */
    var directStopSent = false
        private set
    private var directStart = DirectStart.NONE

    /** Whether a direct start has no known outcome: the attempt can neither be forgotten nor taken for absent. */
    val directStartOutcomeUnknown: Boolean get() = directStart == DirectStart.OUTCOME_UNKNOWN

    /**
     * Whether its start went straight to the worker, so that a copy of it may come at any time while our fencing token
     * holds there.
     */
    val startedDirectly: Boolean get() = directStart != DirectStart.NONE

    val onMachine: Boolean get() = phase == Phase.FETCHING || running

    /** Whether its program runs, or saves its progress before it ends. */
    val running: Boolean get() = phase == Phase.RUNNING || phase == Phase.SAVING

    /** Whether nothing of it is left to be seen to but that its worker forgets it. */
    val finished: Boolean get() = phase == Phase.EXITED && outcomeRecorded

    /** The marker that lists it is durable. */
    fun markerPersisted() {
        phase = Phase.MARKER_PERSISTED
    }

    /** A start of it goes out with the response to a heartbeat. */
    fun startSent() {
        phase = Phase.START_SENT
    }

    /** A start of it goes straight to the worker, and may be carried out until its outcome is known. */
    fun startSentDirectly() {
        phase = Phase.START_SENT
        directStart = DirectStart.OUTCOME_UNKNOWN
    }

    /** The worker has answered the direct start, or can no longer carry it out. */
    fun directStartConcluded() {
        if (directStart == DirectStart.OUTCOME_UNKNOWN) directStart = DirectStart.CONCLUDED
    }

    /** The start that was sent is certainly not carried out: another may be sent. */
    fun startNotExecuted() {
        phase = Phase.MARKER_PERSISTED
    }

    /** Its machine says that it is in [newPhase] now. */
    fun entered(newPhase: Phase, now: Long) {
        phase = newPhase
        progressAtMs = now
    }

    fun exited(hasCompleted: Boolean) {
        phase = Phase.EXITED
        completed = hasCompleted
    }

    fun markOutcomeRecorded() {
        outcomeRecorded = true
    }

    fun resolve() {
        resolved = true
    }

    fun requestStop() {
        stopRequested = true
    }

    fun stopSentDirectly() {
        directStopSent = true
    }

    /** How many more seconds it takes at the least, as far as its job's other tasks or its owner's estimate tell. */
    fun minRemainingS(now: Long): Double {
        if (job.service) return Double.MAX_VALUE
        val ranS = if (phase == Phase.RUNNING) (now - progressAtMs) / MS_PER_S else 0.0
        return job.runTimes.meanS(job.spec.expectedS) * MIN_PART_OF_EXPECTED - ranS
    }

    private companion object {
        /** Of the time a task is expected to take, the part that it takes at the least. */
        const val MIN_PART_OF_EXPECTED = 0.8
    }
}

/** A durable note that the attempts listed under [key] may have been started. */
class DispatchMarker(val key: String, val number: Long) {
    private var holders = 0

    /** One more attempt needs the marker. */
    fun hold() {
        holders++
    }

    /** One that held it needs it no more; true for the last, after which the marker can be removed. */
    fun release(): Boolean = --holders == 0
}
