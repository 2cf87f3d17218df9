package org.chalkhollow.core.fleet

import org.chalkhollow.core.common.CloudOp
import org.chalkhollow.core.common.CloudReply
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.DroppedInput

/**
 * Owns the budget of requests to the cloud, and ensures that at most one request that scales the fleet is in flight. A
 * reply to a request of an earlier term as leader is dropped, since what that term knew of its machines has been
 * discarded. [Fleet] and its parts send all their requests through it.
 */
class CloudRequests(private val context: CoreContext, requestsPerS: Double) {
    private val budget = RequestBudget(requestsPerS)
    private var fencingToken = 0L

    /** Whether a request that scales the fleet waits for its reply. */
    var isScaling = false
        private set

    fun start(newFencingToken: Long) {
        fencingToken = newFencingToken
        isScaling = false
    }

    fun refill() = budget.refill(context.steady)

    /** Takes one request from the budget; false if none is left now. */
    fun trySpend(): Boolean = budget.trySpend()

    /** Sends a request whose reply can be used in any term. */
    fun send(op: CloudOp, onReply: (CloudReply) -> Unit) = context.callCloud(op, onReply)

    /** Sends a request whose reply can be used in this term only. */
    fun sendInTerm(op: CloudOp, onReply: (CloudReply) -> Unit) {
        val tokenWhenSent = fencingToken
        context.callCloud(op) { reply ->
            if (tokenWhenSent == fencingToken) onReply(reply) else context.dropped.count(DroppedInput.REPLY_LATE)
        }
    }

    /** Sends a request that scales the fleet out or in. */
    fun scale(op: CloudOp, onReply: (CloudReply) -> Unit) {
        isScaling = true
        sendInTerm(op) { reply ->
            isScaling = false
            onReply(reply)
        }
    }
}
