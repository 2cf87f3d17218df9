package org.chalkhollow.runtime

import io.ktor.http.encodeURLParameter
import org.chalkhollow.core.common.CloudOp
import org.chalkhollow.core.common.CloudReply
import org.chalkhollow.model.HttpStatus
import org.chalkhollow.wire.MalformedMessageException
import org.chalkhollow.wire.Pack
import org.chalkhollow.wire.ServiceCodec

/** Calls the cloud over [http]. Does not limit the rate of calls: the core does, see `Fleet`. */
class CloudClient(private val http: HttpClient, private val decoder: ResponseDecoder) {
    /** Sends [op]. [onReply] is called once. */
    fun run(op: CloudOp, onReply: (CloudReply) -> Unit) {
        val onResult = { result: HttpResult -> onReply(reply(op, result)) }
        when (op) {
            CloudOp.Catalog -> http.request(GET, "/catalog", null, TIMEOUT_MS, onResult)
            is CloudOp.Machines -> {
                val after = op.after?.let { "since=" + it.encodeURLParameter() + "&" } ?: ""
                http.request(GET, "/machines?" + after + "page=$PAGE_SIZE", null, TIMEOUT_MS, onResult)
            }
            is CloudOp.Rent -> {
                val body = Pack.encode(ServiceCodec.rent(op.requestName, op.type, op.zone, op.spot, op.count))
                http.request(POST, "/machines", body, TIMEOUT_MS, onResult)
            }
            is CloudOp.Delete -> {
                val body = Pack.encode(ServiceCodec.delete(op.names))
                http.request(POST, "/machines/delete", body, TIMEOUT_MS, onResult)
            }
        }
    }

    private fun reply(op: CloudOp, result: HttpResult): CloudReply =
        when (result) {
            HttpResult.NotSent -> CloudReply.Unavailable
            HttpResult.NoResponse -> CloudReply.NoResponse
            is HttpResult.Response ->
                decoder.decode(ifMalformed = CloudReply.NoResponse) { decode(op, result.status, result.body) }
        }

    private fun decode(op: CloudOp, status: Int, body: ByteArray): CloudReply =
        when (status) {
            HttpStatus.OK -> decodeSuccess(op, body)
            HttpStatus.UNAVAILABLE ->
                if (op is CloudOp.Rent && errorOrNull(body) == NO_CAPACITY) {
                    CloudReply.NoCapacity
                } else {
                    CloudReply.Unavailable
                }
            HttpStatus.TOO_MANY_REQUESTS -> CloudReply.Unavailable
            HttpStatus.BAD_REQUEST -> CloudReply.Rejected(decoder.errorText(body))
            else -> CloudReply.NoResponse
        }

    private fun decodeSuccess(op: CloudOp, body: ByteArray): CloudReply =
        when (op) {
            CloudOp.Catalog -> CloudReply.Catalog(ServiceCodec.catalog(body))
            is CloudOp.Machines -> CloudReply.Machines(ServiceCodec.machines(body))
            is CloudOp.Rent -> CloudReply.Rented(ServiceCodec.rented(body))
            is CloudOp.Delete -> CloudReply.Deleted
        }

    private fun errorOrNull(body: ByteArray): String? =
        try {
            ServiceCodec.errorOrNull(body)
        } catch (expected: MalformedMessageException) {
            null // the status is enough: the cloud is unavailable, and the body may come from a proxy
        }

    private companion object {
        const val GET = "GET"
        const val POST = "POST"
        const val TIMEOUT_MS = 4000L

        /** Machines in one page of the inventory. */
        const val PAGE_SIZE = 500

        /** The error of a rejected rental when the cloud has no such machine available. */
        const val NO_CAPACITY = "no capacity"
    }
}
