package org.chalkhollow.runtime

import org.chalkhollow.core.common.CommandReply
import org.chalkhollow.core.common.Effect
import org.chalkhollow.model.HttpStatus
import org.chalkhollow.wire.Pack
import org.chalkhollow.wire.WorkerCodec

/** Sends direct commands to workers, over one persistent connection for each worker that [clients] has a client for. */
class WorkerClient(private val clients: WorkerHttpClients, private val decoder: ResponseDecoder) {
    /** Sends the commands of [effect]. [onReply] is called once, possibly before this returns. */
    fun run(effect: Effect.WorkerCommand, onReply: (CommandReply) -> Unit) {
        val http = clients.clientOf(effect.address) ?: return onReply(CommandReply.NotSent)
        val body = Pack.encode(WorkerCodec.direct(effect.fencingToken, effect.epoch, effect.commands))
        http.request("POST", "/orders", body, TIMEOUT_MS) { onReply(reply(it)) }
    }

    private fun reply(result: HttpResult): CommandReply =
        when (result) {
            HttpResult.NotSent -> CommandReply.NotSent
            HttpResult.NoResponse -> CommandReply.NoResponse
            is HttpResult.Response -> decoder.decode(ifMalformed = CommandReply.NoResponse) { decode(result) }
        }

    private fun decode(result: HttpResult.Response): CommandReply =
        when (result.status) {
            HttpStatus.OK -> CommandReply.Executed(WorkerCodec.heartbeat(result.body))
            HttpStatus.CONFLICT -> CommandReply.Rejected(WorkerCodec.heartbeat(result.body))
            HttpStatus.BAD_REQUEST -> CommandReply.NotSent
            else -> CommandReply.NoResponse
        }

    private companion object {
        const val TIMEOUT_MS = 3000L
    }
}
