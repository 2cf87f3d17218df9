package org.chalkhollow.simulation

import org.chalkhollow.model.Shape

/**
 * Checks what users are told: an accepted job stays known and gets responses, a final state does not change, and a job
 * is done only when all its tasks are.
 */
class UserRules(private val simulation: Simulation, private val history: JobHistory) {
    private val clock = simulation.clock

    private fun recordViolation(rule: String, detail: String) = simulation.rules.recordViolation(rule, detail)

    /** A job that is too large for every machine type got a response with [status], 0 for none. */
    fun tooLargeJobResponse(id: String, status: Int) {
        if (status in
            200..299
        ) {
            recordViolation("accepted_unfit", "$id, which fits no machine type, was accepted with status $status")
        }
    }

    fun rejected(id: String, status: Int) {
        if (id in
            history.accepted
        ) {
            recordViolation("forgotten", "$id was accepted and its submission is now rejected with status $status")
        }
    }

    /**
     * A user receives the response, sent at [respondedAtMs], that [id] is unknown. That is allowed only if it was sent
     * before the user learned that the job is accepted.
     */
    fun notFound(id: String, respondedAtMs: Long) {
        val acceptedAtMs = history.acceptedAtMs[id] ?: return
        if (respondedAtMs > acceptedAtMs) recordViolation("forgotten", "$id was accepted and is now unknown")
    }

    fun cancelRequested(id: String) {
        if (history.reportedEnd[id] != DONE) history.cancelRequestedAtMs.putIfAbsent(id, clock.timeMs)
    }

    /**
     * A user receives [status] in response to a request sent at [requestedAtMs]. A state other than the reported end is
     * a violation only if the request was sent after that end was reported; older responses may arrive late.
     */
    fun stateReported(id: String, status: String, requestedAtMs: Long) {
        val before = history.reportedEnd[id]
        if (before != null && before != status) {
            if (requestedAtMs <= (history.endReportedAtMs[id] ?: 0L)) return
            recordViolation("went_back", "$id was reported as $before and is now reported as $status")
        }
        when (status) {
            DONE -> doneReported(id)
            CANCELLED -> cancelledReported(id)
        }
    }

    private fun doneReported(id: String) {
        val spec = simulation.users.spec(id)
        val tasks = spec?.tasks ?: 0
        val completed = history.completedCount(id)
        if (spec?.shape == Shape.SERVICE) {
            recordViolation("not_done", "$id is a service and was reported as done")
        } else if (completed < tasks) {
            recordViolation("not_done", "$id was reported as done with $completed of $tasks tasks completed")
        }
        endReported(id, DONE)
    }

    private fun cancelledReported(id: String) {
        if (id !in
            history.cancelRequestedAtMs
        ) {
            recordViolation("went_back", "$id was reported as cancelled, but no user requested that")
        }
        endReported(id, CANCELLED)
        history.cancelledAtMs.putIfAbsent(id, clock.timeMs)
    }

    private fun endReported(id: String, status: String) {
        history.reportedEnd[id] = status
        history.endReportedAtMs.putIfAbsent(id, clock.timeMs)
    }

    /** Checks that the user of every open job gets a response within [MAX_NO_RESPONSE_MS] after the last fault. */
    fun checkResponses(faultFreeFromMs: Long) {
        for (id in history.accepted) {
            if (id in history.reportedEnd) continue
            val cancelRequestedAtMs = history.cancelRequestedAtMs[id]
            if (cancelRequestedAtMs != null) {
                val since = maxOf(faultFreeFromMs, cancelRequestedAtMs)
                if (clock.timeMs - since <= MAX_NO_RESPONSE_MS) continue
                recordViolation("forgotten", "$id: its cancellation was not answered since $since")
            } else {
                val since = maxOf(faultFreeFromMs, history.acceptedAtMs[id] ?: 0, history.lastPollResponseAtMs[id] ?: 0)
                if (clock.timeMs - since >
                    MAX_NO_RESPONSE_MS
                ) {
                    recordViolation("forgotten", "$id: its user got no response to a poll since $since")
                }
            }
        }
    }

    companion object {
        /** The final states of a job as the protocol spells them. */
        const val DONE = "done"
        const val CANCELLED = "aborted"
        private const val MAX_NO_RESPONSE_MS = 75_000L
    }
}
