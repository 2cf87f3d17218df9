package org.chalkhollow.runtime

import io.ktor.http.encodeURLParameter
import org.chalkhollow.core.common.CloudOp
import org.chalkhollow.core.common.CloudReply
import org.chalkhollow.model.HttpStatus
import org.chalkhollow.wire.MalformedMessageException
import org.chalkhollow.wire.Pack
import org.chalkhollow.wire.ServiceCodec

/** The cloud, over [http]; the core spends its rate budget, see `Fleet`. */
class CloudClient(private val http: HttpClient, private val decoder: ResponseDecoder) {
    /** Sends [op]; [onReply] is called once. */
    fun run(op: CloudOp, onReply: (CloudReply) -> Unit) {
        val onResult = { result: HttpResult -> onReply(reply(op, result)) }
        when (op) {
            CloudOp.Catalog -> http.request(GET, "/catalog", null, TIMEOUT_MS, onResult)
            is CloudOp.Machines -> {
                val after = op.after?.let { "since=" + it.encodeURLParameter() + "&" } ?: ""
                http.request(GET, "/machines?" + after + "page=$PAGE_SIZE", null, TIMEOUT_MS, onResult)
            }
            is CloudOp.Rent -> {
                val body = Pack.encode(ServiceCodec.rent(op.request, op.type, op.zone, op.spot, op.count))
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
            null // the status alone says that the cloud is unavailable; a proxy may have written the body
        }

    private companion object {
        const val GET = "GET"
        const val POST = "POST"
        const val TIMEOUT_MS = 4000L

        /** Machines that a list is asked for at once. */
        const val PAGE_SIZE = 500

        /** The error that a refused rental names when the cloud has no such machine to give. */
        const val NO_CAPACITY = "no capacity"
    }
}
