package org.chalkhollow.core.cluster

import org.chalkhollow.core.common.MS_PER_S

/** One start of a task: (job, index, number), on one machine. It is settled once it is certain that it runs nowhere. */
class Attempt(
    val job: OpenJob,
    val index: Int,
    val number: Long,
    val machine: Machine,
    val marker: DispatchMarker?,
    /** Given to a job that had been passed over: not to be taken from it again. */
    val fromCredit: Boolean,
) {
    enum class Phase { MARKER_PENDING, MARKER_PERSISTED, START_SENT, FETCHING, RUNNING, SAVING, EXITED }

    var phase = Phase.MARKER_PENDING

    /** Dispatched by an earlier leader, or found on a machine: absence is proof only in a report at our token. */
    var inherited = false

    /** A direct start without a known outcome: neither to be forgotten nor taken for absent. */
    var directStartUnresolved = false

    /** Its start went straight to the worker, so that a copy of it may come at any time while our token holds there. */
    var startedDirectly = false

    /** It ended by completing: begun once more it would only end once more. */
    var completed = false

    /** Its end is recorded, or needs no record. */
    var outcomeRecorded = false
    var stopping = false
    var stopSentAt = 0L
    var resolved = false
    var since = 0L
    var placedAt = 0L

    /** The machine held the image when the attempt was placed. */
    var cached = false

    /** How many more seconds it takes at the least, as far as its job's other tasks or its owner's estimate tell. */
    fun minRemainingS(t: Long): Double {
        if (job.service) return Double.MAX_VALUE
        val ran = if (phase == Phase.RUNNING) (t - since) / MS_PER_S else 0.0
        return (if (job.runs > 0) job.ranS / job.runs else job.spec.expectedS) * MIN_OF_EXPECTED - ran
    }

    val onMachine: Boolean get() = phase == Phase.FETCHING || phase == Phase.RUNNING || phase == Phase.SAVING

    private companion object {
        const val MIN_OF_EXPECTED = 0.8
    }
}

/** A durable note that the attempts listed under [key] may have been started. */
class DispatchMarker(val key: String, val number: Long) {
    var outstanding = 0
    var durable = false
}
