package org.chalkhollow.core.requests

import org.chalkhollow.core.common.CoreContext

/**
 * Owns the calls that wait for one kind of durable write, by the job's id. A job stays in here until its write is over,
 * even when all of its callers have been responded to: what is under way may still be applied. Called by [JobRequests].
 */
internal class WaitingCallers(private val context: CoreContext, private val responder: Responder) {
    private class Waiting(var since: Long) {
        val calls = ArrayList<Int>()
    }

    private val byJob = HashMap<String, Waiting>()

    val size: Int get() = byJob.size

    operator fun contains(jobId: String): Boolean = jobId in byJob

    /** [call] waits for the write of [jobId], with those that already do. */
    fun add(jobId: String, call: Int) {
        byJob.getOrPut(jobId) { Waiting(context.steady) }.calls.add(call)
    }

    /** The write of [jobId] is over: gives the calls that waited for it, in their order, and forgets them. */
    fun remove(jobId: String): List<Int> = byJob.remove(jobId)?.calls.orEmpty()

    /** Responds with 503 to callers who have waited for longer than [timeoutMs]; their writes stay under way. */
    fun expire(timeoutMs: Long) {
        for (waiting in byJob.values) {
            if (context.steady - waiting.since > timeoutMs) respondUnavailable(waiting)
        }
    }

    /** Responds with 503 to all callers; their writes stay under way. */
    fun respondUnavailable() = byJob.values.forEach(::respondUnavailable)

    /** Responds with 503 to all callers and forgets the writes. */
    fun clear() {
        respondUnavailable()
        byJob.clear()
    }

    private fun respondUnavailable(waiting: Waiting) {
        waiting.calls.forEach(responder::respondUnavailable)
        waiting.calls.clear()
        waiting.since = context.steady
    }
}
