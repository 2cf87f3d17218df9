package org.chalkhollow.runtime

import com.google.common.util.concurrent.RateLimiter
import io.ktor.http.encodeURLParameter
import org.chalkhollow.core.common.StateOp
import org.chalkhollow.core.common.StateReply
import org.chalkhollow.model.HttpStatus
import org.chalkhollow.wire.Pack
import org.chalkhollow.wire.ServiceCodec

/**
 * Calls the state service over [http], at most [requestsPerS] times a second. A call above this limit is not sent and
 * gets [StateReply.Unavailable], which means that it was not executed.
 */
class StateServiceClient(private val http: HttpClient, requestsPerS: Double, private val decoder: ResponseDecoder) {
    @Suppress("UnstableApiUsage") // Guava's RateLimiter is marked @Beta
    private val rateLimiter = RateLimiter.create(requestsPerS)

    /** Sends [op]. [onReply] is called once, possibly before this returns. */
    fun run(op: StateOp, onReply: (StateReply) -> Unit) {
        if (!rateLimiter.tryAcquire()) return onReply(StateReply.Unavailable)
        val onResult = { result: HttpResult -> onReply(reply(op, result)) }
        when (op) {
            is StateOp.Read -> http.request(GET, "/keys/" + op.key, null, TIMEOUT_MS, onResult)
            is StateOp.List -> http.request(GET, listPath(op), null, TIMEOUT_MS * 2, onResult)
            is StateOp.Commit -> {
                val body = Pack.encode(ServiceCodec.commit(op.conditions, op.changes))
                http.request(POST, "/commit", body, TIMEOUT_MS, onResult)
            }
        }
    }

    private fun listPath(op: StateOp.List): String {
        val after = op.after?.let { "&since=" + it.encodeURLParameter() } ?: ""
        return "/keys?under=" + op.prefix.encodeURLParameter() + after + "&page=$PAGE_SIZE"
    }

    private fun reply(op: StateOp, result: HttpResult): StateReply =
        when (result) {
            HttpResult.NotSent -> StateReply.Unavailable
            HttpResult.NoResponse -> StateReply.NoResponse
            is HttpResult.Response ->
                decoder.decode(ifMalformed = StateReply.NoResponse) { decode(op, result.status, result.body) }
        }

    private fun decode(op: StateOp, status: Int, body: ByteArray): StateReply =
        when (status) {
            HttpStatus.OK -> decodeSuccess(op, body)
            HttpStatus.TOO_MANY_REQUESTS, HttpStatus.UNAVAILABLE -> StateReply.Unavailable
            HttpStatus.BAD_REQUEST -> StateReply.Rejected(decoder.errorText(body))
            HttpStatus.NOT_FOUND -> if (op is StateOp.Read) StateReply.Missing else StateReply.NoResponse
            HttpStatus.CONFLICT ->
                if (op is StateOp.Commit) {
                    StateReply.Conflict(ServiceCodec.failedKeys(body))
                } else {
                    StateReply.NoResponse
                }
            else -> StateReply.NoResponse
        }

    private fun decodeSuccess(op: StateOp, body: ByteArray): StateReply =
        when (op) {
            is StateOp.Read -> StateReply.Found(ServiceCodec.keyValue(op.key, body))
            is StateOp.List -> StateReply.Page(ServiceCodec.page(body))
            is StateOp.Commit -> StateReply.Committed(ServiceCodec.revision(body))
        }

    private companion object {
        const val GET = "GET"
        const val POST = "POST"
        const val TIMEOUT_MS = 1500L

        /** Keys in one page of a list. */
        const val PAGE_SIZE = 500
    }
}
