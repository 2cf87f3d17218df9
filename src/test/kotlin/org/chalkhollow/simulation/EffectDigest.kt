package org.chalkhollow.simulation

import org.chalkhollow.core.common.CloudOp
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.StateOp
import org.chalkhollow.peer.Frames
import org.chalkhollow.wire.Pack
import org.chalkhollow.wire.ServiceCodec
import org.chalkhollow.wire.WorkerCodec
import java.security.MessageDigest

/**
 * A digest of all effects of all controllers with their order and time. Comparing it before and after a refactoring
 * shows whether any effect changed. An effect is digested by the bytes that it sends, not by the name of its type. Log
 * lines are ignored. The texts in this class are part of the digest.
 */
class EffectDigest {
    private val digest = MessageDigest.getInstance("SHA-256")

    /** The number of effects. */
    var count = 0L
        private set

    /** Adds an [effect] of controller [label] at [timeMs]. */
    fun add(timeMs: Long, label: String, effect: Effect) {
        if (effect is Effect.LogEvent) return
        count++
        digest.update("$timeMs $label ".toByteArray())
        when (effect) {
            is Effect.Response -> add("answer ${effect.call} ${effect.status} ${effect.retryAfterS}", effect.body)
            is Effect.State -> add("state ${effect.ticket}", stateOp(effect.op))
            is Effect.Cloud -> add("cloud ${effect.ticket} ${cloudOp(effect.op)}", null)
            is Effect.WorkerCommand ->
                add(
                    "direct ${effect.ticket} ${effect.address}",
                    Pack.encode(WorkerCodec.direct(effect.fencingToken, effect.epoch, effect.commands)),
                )
            is Effect.Send -> add("send ${effect.peer}", Frames.encode(effect.message))
            is Effect.Timer -> add("timer ${effect.atMs}", null)
            is Effect.Timing -> add("sample ${effect.kind} ${effect.ms}", null)
            is Effect.LogEvent -> Unit
        }
    }

    /** The digest of the effects so far, in hexadecimal. */
    fun hex(): String = (digest.clone() as MessageDigest).digest().joinToString("") { "%02x".format(it) }

    private fun add(text: String, bytes: ByteArray?) {
        digest.update("$text ${bytes?.size ?: -1}\n".toByteArray())
        if (bytes != null) digest.update(bytes)
    }

    private fun stateOp(op: StateOp): ByteArray =
        when (op) {
            is StateOp.Read -> "read ${op.key}".toByteArray()
            is StateOp.List -> "list ${op.prefix} ${op.after}".toByteArray()
            is StateOp.Commit -> Pack.encode(ServiceCodec.commit(op.conditions, op.changes))
        }

    private fun cloudOp(op: CloudOp): String =
        when (op) {
            CloudOp.Catalog -> "catalog"
            is CloudOp.Machines -> "machines ${op.after}"
            is CloudOp.Rent -> "rent ${op.requestName} ${op.type} ${op.zone} ${op.spot} ${op.count}"
            is CloudOp.Delete -> "delete ${op.names}"
        }
}
