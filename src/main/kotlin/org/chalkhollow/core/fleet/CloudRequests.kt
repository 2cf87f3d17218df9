package org.chalkhollow.core.fleet

import org.chalkhollow.core.common.CloudOp
import org.chalkhollow.core.common.CloudReply
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.MS_PER_S

/**
 * Owns the budget of requests to the cloud, and that at most one that rents or returns machines is under way. A reply
 * to what was asked in an earlier generation is dropped: what that leader knew of its machines is gone. [Fleet] and its
 * parts ask the cloud through it.
 */
class CloudRequests(private val context: CoreContext, private val requestsPerS: Double) {
    private var tokens = 1.0
    private var refilledAt = 0L
    private var fencingToken = 0L

    /** Whether a request that rents or returns machines has no answer yet. */
    var changing = false
        private set

    fun start(newFencingToken: Long) {
        fencingToken = newFencingToken
        changing = false
    }

    fun refill() {
        val t = context.steady
        tokens = minOf(requestsPerS, tokens + (t - refilledAt) * requestsPerS * BUDGET_SHARE / MS_PER_S)
        refilledAt = t
    }

    /** Takes one request off the budget; false if there is none left now. */
    fun spend(): Boolean {
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }

    /** Asks for what does not depend on the generation. */
    fun ask(op: CloudOp, then: (CloudReply) -> Unit) = context.callCloud(op, then)

    /** Asks for what only this generation can use. */
    fun askNow(op: CloudOp, then: (CloudReply) -> Unit) {
        val inGeneration = fencingToken
        context.callCloud(op) { reply ->
            if (inGeneration == fencingToken) then(reply) else context.dropped.count(DroppedInput.REPLY_LATE)
        }
    }

    /** Rents or returns machines. */
    fun change(op: CloudOp, then: (CloudReply) -> Unit) {
        changing = true
        askNow(op) { reply ->
            changing = false
            then(reply)
        }
    }

    private companion object {
        /** Below the rate that the cloud allows, since requests that were held up on their way arrive together. */
        const val BUDGET_SHARE = 0.8
    }
}
