package org.chalkhollow.simulation

import org.chalkhollow.model.Shape

/** What users may be told: no accepted job is forgotten, no end is taken back, and nothing is done before its end. */
class UserRules(private val simulation: Simulation, private val history: JobHistory) {
    private val clock = simulation.clock

    private fun broken(rule: String, what: String) = simulation.rules.broken(rule, what)

    /** A job that no machine has room for was answered with [status], 0 for no answer. */
    fun answeredUnfit(id: String, status: Int) {
        if (status in 200..299) broken("accepted_unfit", "$id, which fits no machine, was answered with $status")
    }

    fun refused(id: String, status: Int) {
        if (id in history.accepted) broken("forgotten", "$id was accepted and is now answered with $status")
    }

    /** A user gets word, given at [saidAt], that [id] is unknown; before its acceptance was told that was right. */
    fun notFound(id: String, saidAt: Long) {
        val acceptedAt = history.acceptedAt[id] ?: return
        if (saidAt > acceptedAt) broken("forgotten", "$id was accepted and is now unknown")
    }

    fun asksToCancel(id: String) {
        if (history.endTold[id] != DONE) history.cancelRequestedAt.putIfAbsent(id, clock.time)
    }

    /**
     * A user is told [status] in answer to what it asked at [askedAt]; only what was asked after an end was told can go
     * back.
     */
    fun told(id: String, status: String, askedAt: Long) {
        val before = history.endTold[id]
        if (before != null && before != status) {
            if (askedAt <= (history.endToldAt[id] ?: 0L)) return
            broken("went_back", "$id was $before and is now $status")
        }
        when (status) {
            DONE -> toldDone(id)
            CANCELLED -> toldCancelled(id)
        }
    }

    private fun toldDone(id: String) {
        val spec = simulation.users.spec(id)
        val tasks = spec?.tasks ?: 0
        val completed = history.completedCount(id)
        if (spec?.shape == Shape.SERVICE) {
            broken("not_done", "$id is a service, which is never done")
        } else if (completed < tasks) {
            broken("not_done", "$id has $completed of $tasks tasks done")
        }
        toldEnd(id, DONE)
    }

    private fun toldCancelled(id: String) {
        if (id !in history.cancelRequestedAt) broken("went_back", "$id was not cancelled by its user")
        toldEnd(id, CANCELLED)
        history.cancelledAt.putIfAbsent(id, clock.time)
    }

    private fun toldEnd(id: String, status: String) {
        history.endTold[id] = status
        history.endToldAt.putIfAbsent(id, clock.time)
    }

    /** From [calmFrom] on, when all faults are over, each open job's user gets answers, however others fare. */
    fun checkAnswers(calmFrom: Long) {
        for (id in history.accepted) {
            if (id in history.endTold) continue
            val cancelRequestedAt = history.cancelRequestedAt[id]
            if (cancelRequestedAt != null) {
                val since = maxOf(calmFrom, cancelRequestedAt)
                if (clock.time - since <= UNANSWERED_MS) continue
                broken("forgotten", "$id: its cancellation was not answered since $since")
            } else {
                val since = maxOf(calmFrom, history.acceptedAt[id] ?: 0, history.answeredAt[id] ?: 0)
                if (clock.time - since > UNANSWERED_MS) broken("forgotten", "$id: no answer since $since")
            }
        }
    }

    companion object {
        /** The ends of a job as the protocol spells them. */
        const val DONE = "done"
        const val CANCELLED = "aborted"
        private const val UNANSWERED_MS = 75_000L
    }
}
