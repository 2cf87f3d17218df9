package org.chalkhollow.core.cluster

import org.chalkhollow.core.common.MS_PER_S

/**
 * One start of a task on one machine, identified by job, task index and attempt number. It counts against its team's
 * limit and its machine's capacity until it is known to have exited, or until it is resolved. The attempts package
 * makes the transitions; placement and the fleet read them and request stops.
 *
 * A leader holds tens of thousands of attempts, so their state is kept in plain fields.
 */
class Attempt(
    val job: OpenJob,
    val index: Int,
    val number: Long,
    val machine: Machine,
    val marker: DispatchMarker?,
    /** Placed with fair-share credit, so it must not be preempted. */
    val fromCredit: Boolean,
    /**
     * Dispatched by an earlier leader, or found on a machine. A heartbeat that does not list it confirms its absence
     * only if the heartbeat carries this leader's fencing token.
     */
    val inherited: Boolean,
    val placedAtMs: Long,
) {
    enum class Phase {
        /** Its dispatch marker is not durable yet, so no start may be sent. */
        MARKER_PENDING,

        /** Its dispatch marker is durable, and no start is in flight: a start may be sent. */
        MARKER_PERSISTED,

        /** A start was or may have been sent, so the attempt may be on its machine. */
        START_SENT,
        FETCHING,
        RUNNING,
        SAVING,
        EXITED,
    }

    /** Outcome of a start that was sent by a direct command instead of the response to a heartbeat. */
    private enum class DirectStart { NONE, OUTCOME_UNKNOWN, CONCLUDED }

    /** Attempts of an earlier leader begin at [Phase.START_SENT], since that leader may have sent the start. */
    var phase = if (inherited) Phase.START_SENT else Phase.MARKER_PENDING
        private set

    /** When the attempt was placed or, later, when a heartbeat last showed a new phase. */
    var progressAtMs = placedAtMs
        private set

    /** Whether the machine had the image cached when the attempt was placed. */
    val imageWasCached = job.image in machine.cachedImages

    /** Whether the task completed. A start of it that is carried out again ends as soon as the image is there. */
    var completed = false
        private set

    /** Whether the outcome is durable or needs no record. */
    var outcomeRecorded = false
        private set

    /** Whether the attempt is confirmed absent and its reservations are released. */
    var resolved = false
        private set

    /** Whether the attempt is to be stopped, for other work or because its machine is about to be removed. */
    var stopRequested = false
        private set

    /** Whether a stop was sent by a direct command; the responses to heartbeats repeat it. */
    var directStopSent = false
        private set
    private var directStart = DirectStart.NONE

    /**
     * Whether a direct start has no known outcome. The attempt is then neither forgotten nor confirmed absent by a
     * heartbeat.
     */
    val directStartOutcomeUnknown: Boolean get() = directStart == DirectStart.OUTCOME_UNKNOWN

    /**
     * Whether its start was sent by a direct command. A late copy of that command can reach the worker for as long as
     * the worker has seen no newer fencing token.
     */
    val startedDirectly: Boolean get() = directStart != DirectStart.NONE

    val onMachine: Boolean get() = phase == Phase.FETCHING || running

    /** Whether its program runs, which includes saving its progress before it ends. */
    val running: Boolean get() = phase == Phase.RUNNING || phase == Phase.SAVING

    /** Whether all that is left is for the worker to forget the attempt. */
    val finished: Boolean get() = phase == Phase.EXITED && outcomeRecorded

    /** The dispatch marker that lists the attempt is durable. */
    fun markerPersisted() {
        phase = Phase.MARKER_PERSISTED
    }

    /** A start is sent with the response to a heartbeat. */
    fun startSent() {
        phase = Phase.START_SENT
    }

    /** A start is sent by a direct command; the worker may execute it until its outcome is known. */
    fun startSentDirectly() {
        phase = Phase.START_SENT
        directStart = DirectStart.OUTCOME_UNKNOWN
    }

    /** The worker has replied to the direct start, or can no longer execute it. */
    fun directStartConcluded() {
        if (directStart == DirectStart.OUTCOME_UNKNOWN) directStart = DirectStart.CONCLUDED
    }

    /** The start that was sent will certainly not be executed, so another may be sent. */
    fun startNotExecuted() {
        phase = Phase.MARKER_PERSISTED
    }

    /** A heartbeat shows the attempt in [newPhase]. */
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

    /**
     * Lower estimate of the remaining run time in seconds, from the observed run times of the job's tasks or, without
     * any, from the estimate in its spec. [Double.MAX_VALUE] for a service.
     */
    fun minRemainingS(now: Long): Double {
        if (job.service) return Double.MAX_VALUE
        val ranS = if (phase == Phase.RUNNING) (now - progressAtMs) / MS_PER_S else 0.0
        return job.runTimes.meanS(job.spec.expectedS) * MIN_RUN_TIME_FRACTION - ranS
    }

    private companion object {
        /** A task is assumed to take at least this fraction of its expected run time. */
        const val MIN_RUN_TIME_FRACTION = 0.8
    }
}

/**
 * The durable record, stored under [key], that its attempts may have been started. Counts the attempts that need it.
 */
class DispatchMarker(val key: String, val number: Long) {
    private var holders = 0

    fun hold() {
        holders++
    }

    /** Ends one [hold]; returns true if none is left, so that the marker can be deleted. */
    fun release(): Boolean = --holders == 0
}
