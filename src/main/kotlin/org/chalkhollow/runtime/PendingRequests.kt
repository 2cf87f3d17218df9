package org.chalkhollow.runtime

import org.agrona.collections.Int2ObjectHashMap

/** The requests that the controller has not answered yet, by the call number under which it knows them. Bounded. */
internal class PendingRequests {
    private val responders = Int2ObjectHashMap<HttpResponder>()
    private var nextCall = 0

    /** Whether there are as many as may be; further requests are refused. */
    val isFull: Boolean get() = responders.size >= MAX_PENDING_REQUESTS

    /** Keeps [responder] and returns its call number. */
    fun add(responder: HttpResponder): Int {
        val call = nextCall
        nextCall = (nextCall + 1) and Int.MAX_VALUE
        responders.put(call, responder)
        return call
    }

    /** Answers a call; one that was answered before is left alone. */
    fun respond(call: Int, response: HttpResponse) {
        responders.remove(call)?.respond(response)
    }

    private companion object {
        /** Heartbeats are answered at once and do not wait here, so this bounds users, not machines. */
        const val MAX_PENDING_REQUESTS = 2000
    }
}
