package org.chalkhollow.runtime

import org.agrona.collections.Int2ObjectHashMap

/** Requests to the controller without a response yet, by call number. Their number is limited. */
internal class PendingRequests {
    private val responders = Int2ObjectHashMap<HttpResponder>()
    private var nextCall = 0

    /** Whether the limit is reached; further requests are rejected. */
    val isFull: Boolean get() = responders.size >= MAX_PENDING_REQUESTS

    /** Adds [responder] and returns its call number. */
    fun add(responder: HttpResponder): Int {
        val call = nextCall
        nextCall = (nextCall + 1) and Int.MAX_VALUE
        responders.put(call, responder)
        return call
    }

    /** Sends the response to [call]; does nothing if it already has one. */
    fun respond(call: Int, response: HttpResponse) {
        responders.remove(call)?.respond(response)
    }

    private companion object {
        /** Heartbeats get their response at once, so this limits users' requests, not the number of machines. */
        const val MAX_PENDING_REQUESTS = 2000
    }
}
