package org.chalkhollow.simulation

import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.UserRequest

/**
 * A user who asks about one job every 5 s on a connection through the load balancer that stays open, and records
 * whether each poll got a response.
 */
class PollingUser(private val simulation: Simulation, private val balancer: LoadBalancer, val jobId: String) {
    /** A poll that was sent at [sentAtMs]. */
    class Poll(val sentAtMs: Long, val isAnswered: Boolean)

    private val clock = simulation.clock
    val polls = ArrayList<Poll>()
    var connection: LoadBalancer.Connection? = null
        private set

    /** Opens the connection and begins to poll. */
    fun start() {
        poll()
    }

    private fun poll() {
        clock.after(POLL_INTERVAL_MS) { poll() }
        if (connection?.isOpen != true) connection = balancer.connect()
        val node = connection?.node
        val sentAtMs = clock.timeMs
        var isFinished = false

        fun finishOnce(response: Effect.Response?) {
            if (isFinished) return
            isFinished = true
            polls.add(Poll(sentAtMs, response != null && response.status in ANSWERS))
        }
        clock.after(RESPONSE_TIMEOUT_MS) { finishOnce(null) }
        if (node == null || !node.receiveRequest(UserRequest.Query(jobId), ::finishOnce)) finishOnce(null)
    }

    /** The longest time from a poll that was answered to the last one of the failed polls after it. */
    fun longestFailureMs(): Long {
        var answeredAtMs = polls.firstOrNull()?.sentAtMs ?: return 0
        var longestMs = 0L
        for (poll in polls) {
            if (poll.isAnswered) answeredAtMs = poll.sentAtMs
            longestMs = maxOf(longestMs, poll.sentAtMs - answeredAtMs)
        }
        return longestMs
    }

    private companion object {
        const val POLL_INTERVAL_MS = 5000L
        const val RESPONSE_TIMEOUT_MS = 2000L
        val ANSWERS = setOf(200, 404)
    }
}
