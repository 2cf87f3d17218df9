package org.chalkhollow.simulation

import org.chalkhollow.model.Shape

/** What users may be told: no accepted job is forgotten, no end is taken back, and nothing is done before its end. */
class UserRules(private val simulation: Simulation, private val history: JobHistory) {
    private val clock = simulation.clock

    private fun recordViolation(rule: String, detail: String) = simulation.rules.recordViolation(rule, detail)

    /** A job that no machine has room for was answered with [status], 0 for no answer. */
    fun tooLargeJobAnswered(id: String, status: Int) {
        if (status in
            200..299
        ) {
            recordViolation("accepted_unfit", "$id, which fits no machine, was answered with $status")
        }
    }

    fun rejected(id: String, status: Int) {
        if (id in history.accepted) recordViolation("forgotten", "$id was accepted and is now answered with $status")
    }

    /**
     * A user receives the response, sent at [respondedAtMs], that [id] is unknown. That is allowed only if it was sent
     * before the user learned that the job is accepted.
     */
    fun notFound(id: String, respondedAtMs: Long) {
        val acceptedAt = history.acceptedAtMs[id] ?: return
        if (respondedAtMs > acceptedAt) recordViolation("forgotten", "$id was accepted and is now unknown")
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
            recordViolation("went_back", "$id was $before and is now $status")
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
            recordViolation("not_done", "$id is a service, which is never done")
        } else if (completed < tasks) {
            recordViolation("not_done", "$id has $completed of $tasks tasks done")
        }
        endReported(id, DONE)
    }

    private fun cancelledReported(id: String) {
        if (id !in history.cancelRequestedAtMs) recordViolation("went_back", "$id was not cancelled by its user")
        endReported(id, CANCELLED)
        history.cancelledAtMs.putIfAbsent(id, clock.timeMs)
    }

    private fun endReported(id: String, status: String) {
        history.reportedEnd[id] = status
        history.endReportedAtMs.putIfAbsent(id, clock.timeMs)
    }

    /** From [faultFreeFromMs] on, when all faults are over, each open job's user gets answers, however others fare. */
    fun checkAnswers(faultFreeFromMs: Long) {
        for (id in history.accepted) {
            if (id in history.reportedEnd) continue
            val cancelRequestedAt = history.cancelRequestedAtMs[id]
            if (cancelRequestedAt != null) {
                val since = maxOf(faultFreeFromMs, cancelRequestedAt)
                if (clock.timeMs - since <= MAX_UNANSWERED_MS) continue
                recordViolation("forgotten", "$id: its cancellation was not answered since $since")
            } else {
                val since = maxOf(faultFreeFromMs, history.acceptedAtMs[id] ?: 0, history.lastPollAnsweredAtMs[id] ?: 0)
                if (clock.timeMs - since >
                    MAX_UNANSWERED_MS
                ) {
                    recordViolation("forgotten", "$id: no answer since $since")
                }
            }
        }
    }

    companion object {
        /** The ends of a job as the protocol spells them. */
        const val DONE = "done"
        const val CANCELLED = "aborted"
        private const val MAX_UNANSWERED_MS = 75_000L
    }
}
