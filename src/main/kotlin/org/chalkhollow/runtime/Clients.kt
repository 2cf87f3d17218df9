package org.chalkhollow.runtime

import com.google.common.util.concurrent.RateLimiter
import io.ktor.http.encodeURLParameter
import org.chalkhollow.core.common.CloudOp
import org.chalkhollow.core.common.CloudReply
import org.chalkhollow.core.common.CommandReply
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.HttpStatus
import org.chalkhollow.core.common.StateOp
import org.chalkhollow.core.common.StateReply
import org.chalkhollow.model.KeyValue
import org.chalkhollow.wire.Fields
import org.chalkhollow.wire.Malformed
import org.chalkhollow.wire.Pack
import org.chalkhollow.wire.ServiceCodec
import org.chalkhollow.wire.WorkerCodec

private const val GET = "GET"
private const val POST = "POST"

/** Reads replies; one that is malformed is told of, and counts as none. */
class ReplyReader(private val onMalformed: (Malformed) -> Unit) {
    inline fun <T> read(ifMalformed: T, decode: () -> T): T =
        try {
            decode()
        } catch (e: Malformed) {
            malformed(e)
            ifMalformed
        }

    fun malformed(e: Malformed) = onMalformed(e)
}

/** The state service within its request budget; what the budget refuses counts as not executed. */
class StateClient(private val link: HttpLink, rps: Double, private val replies: ReplyReader) {
    @Suppress("UnstableApiUsage")
    private val budget = RateLimiter.create(rps)

    fun run(op: StateOp, onReply: (StateReply) -> Unit) {
        if (!budget.tryAcquire()) return onReply(StateReply.Unavailable)
        val onResult = { result: HttpResult -> onReply(reply(op, result)) }
        when (op) {
            is StateOp.Read -> link.request(GET, "/keys/" + op.key, null, TIMEOUT_MS, onResult)
            is StateOp.List -> link.request(GET, listPath(op), null, TIMEOUT_MS * 2, onResult)
            is StateOp.Commit -> {
                val body = Pack.encode(ServiceCodec.commit(op.conditions, op.changes))
                link.request(POST, "/commit", body, TIMEOUT_MS, onResult)
            }
        }
    }

    private fun reply(op: StateOp, result: HttpResult): StateReply =
        when (result) {
            HttpResult.NotSent -> StateReply.Unavailable
            HttpResult.NoResponse -> StateReply.NoResponse
            is HttpResult.Answered ->
                replies.read(ifMalformed = StateReply.NoResponse) { decode(op, result) }
        }

    private fun listPath(op: StateOp.List): String {
        val after = op.after?.let { "&since=" + it.encodeURLParameter() } ?: ""
        return "/keys?under=" + op.prefix.encodeURLParameter() + after + "&page=$PAGE"
    }

    private fun decode(op: StateOp, r: HttpResult.Answered): StateReply =
        when {
            r.status == 429 || r.status == 503 -> StateReply.Unavailable
            r.status == 404 && op is StateOp.Read -> StateReply.Missing
            r.status == 409 && op is StateOp.Commit -> StateReply.Conflict(ServiceCodec.failedKeys(r.body))
            r.status == 400 -> StateReply.Rejected(text(r.body))
            r.status != 200 -> StateReply.NoResponse
            op is StateOp.Read -> {
                val f = Pack.decodeMap(r.body)
                StateReply.Found(KeyValue(op.key, f.map["value"], f.long("stamp")))
            }
            op is StateOp.List -> StateReply.Page(ServiceCodec.rows(r.body))
            else -> StateReply.Committed(ServiceCodec.revision(r.body))
        }

    private companion object {
        const val TIMEOUT_MS = 1500L
        const val PAGE = 500
    }
}

private fun text(body: ByteArray): String =
    try {
        Pack.decode(body).toString().take(200)
    } catch (e: Malformed) {
        "no reason given"
    }

/** The cloud; the core spends its rate budget, see `Fleet`. */
class CloudClient(private val link: HttpLink, private val replies: ReplyReader) {
    fun run(op: CloudOp, onReply: (CloudReply) -> Unit) {
        val onResult = { result: HttpResult -> onReply(reply(op, result)) }
        when (op) {
            CloudOp.Catalog -> link.request(GET, "/catalog", null, TIMEOUT_MS, onResult)
            is CloudOp.Machines -> {
                val after = op.after?.let { "since=" + it.encodeURLParameter() + "&" } ?: ""
                link.request(GET, "/machines?" + after + "page=$PAGE", null, TIMEOUT_MS, onResult)
            }
            is CloudOp.Rent -> {
                val body = Pack.encode(ServiceCodec.rent(op.request, op.type, op.zone, op.spot, op.count))
                link.request(POST, "/machines", body, TIMEOUT_MS, onResult)
            }
            is CloudOp.Delete -> {
                val body = Pack.encode(ServiceCodec.delete(op.names))
                link.request(POST, "/machines/delete", body, TIMEOUT_MS, onResult)
            }
        }
    }

    private fun reply(op: CloudOp, result: HttpResult): CloudReply =
        when (result) {
            HttpResult.NotSent -> CloudReply.Unavailable
            HttpResult.NoResponse -> CloudReply.NoResponse
            is HttpResult.Answered ->
                replies.read(ifMalformed = CloudReply.NoResponse) { decode(op, result) }
        }

    private fun decode(op: CloudOp, r: HttpResult.Answered): CloudReply =
        when {
            r.status == 503 && op is CloudOp.Rent && reason(r.body) == "no capacity" -> CloudReply.NoCapacity
            r.status == 429 || r.status == 503 -> CloudReply.Unavailable
            r.status == 400 -> CloudReply.Rejected(text(r.body))
            r.status != 200 -> CloudReply.NoResponse
            op is CloudOp.Catalog -> CloudReply.Catalog(ServiceCodec.catalog(r.body))
            op is CloudOp.Machines -> CloudReply.Machines(ServiceCodec.machines(r.body))
            op is CloudOp.Rent -> CloudReply.Rented(ServiceCodec.rented(r.body))
            else -> CloudReply.Deleted
        }

    private fun reason(body: ByteArray): String? =
        try {
            Fields.of(Pack.decode(body), "body").textOrNull("error")
        } catch (e: Malformed) {
            null
        }

    private companion object {
        const val TIMEOUT_MS = 4000L
        const val PAGE = 500
    }
}

/** Direct commands to workers, over one kept connection each for as many workers as [links] holds. */
class WorkerClient(private val links: (String) -> HttpLink?, private val replies: ReplyReader) {
    fun run(e: Effect.WorkerCommand, onReply: (CommandReply) -> Unit) {
        val link = links(e.address) ?: return onReply(CommandReply.NotSent)
        val body = Pack.encode(WorkerCodec.direct(e.fencingToken, e.epoch, e.commands))
        link.request(POST, "/orders", body, TIMEOUT_MS) { onReply(reply(it)) }
    }

    private fun reply(result: HttpResult): CommandReply =
        when (result) {
            HttpResult.NotSent -> CommandReply.NotSent
            HttpResult.NoResponse -> CommandReply.NoResponse
            is HttpResult.Answered -> replies.read(ifMalformed = CommandReply.NoResponse) { decode(result) }
        }

    private fun decode(result: HttpResult.Answered): CommandReply =
        when (result.status) {
            HttpStatus.OK -> CommandReply.Executed(WorkerCodec.heartbeat(result.body))
            CONFLICT -> CommandReply.Refused(WorkerCodec.heartbeat(result.body))
            HttpStatus.BAD_REQUEST -> CommandReply.NotSent
            else -> CommandReply.NoResponse
        }

    private companion object {
        const val TIMEOUT_MS = 3000L
        const val CONFLICT = 409
    }
}
