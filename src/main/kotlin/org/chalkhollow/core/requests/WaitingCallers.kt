package org.chalkhollow.core.requests

import org.chalkhollow.core.common.CoreContext

/**
 * Owns the callers that wait for one kind of write to become durable, by job id. A job stays here until its write ends,
 * even after all of its callers got a response, because the write may still be applied. Called by [JobRequests].
 */
internal class WaitingCallers(private val context: CoreContext, private val responder: Responder) {
    private class Waiting(var sinceMs: Long) {
        val calls = ArrayList<Int>()
    }

    private val byJob = HashMap<String, Waiting>()

    val size: Int get() = byJob.size

    operator fun contains(jobId: String): Boolean = jobId in byJob

    /** Adds [call] to the callers that wait for the write of [jobId]. */
    fun add(jobId: String, call: Int) {
        byJob.getOrPut(jobId) { Waiting(context.steady) }.calls.add(call)
    }

    /** The write of [jobId] has ended: removes the calls that waited for it and returns them in order of arrival. */
    fun remove(jobId: String): List<Int> = byJob.remove(jobId)?.calls.orEmpty()

    /** Responds with 503 to callers that have waited for longer than [timeoutMs]; their writes stay pending. */
    fun expire(timeoutMs: Long) {
        for (waiting in byJob.values) {
            if (context.steady - waiting.sinceMs > timeoutMs) respondUnavailable(waiting)
        }
    }

    /** Responds with 503 to all callers; their writes stay pending. */
    fun respondUnavailable() = byJob.values.forEach(::respondUnavailable)

    /** Responds with 503 to all callers and removes the writes. */
    fun clear() {
        respondUnavailable()
        byJob.clear()
    }

    private fun respondUnavailable(waiting: Waiting) {
        waiting.calls.forEach(responder::respondUnavailable)
        waiting.calls.clear()
        waiting.sinceMs = context.steady
    }
}
