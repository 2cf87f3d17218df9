package org.chalkhollow.core.common

import org.agrona.collections.Int2ObjectHashMap
import org.chalkhollow.wire.Pack
import java.util.SplittableRandom

/**
 * What the owners within a controller share: the moment, the effects so far, tickets for replies, and a seeded random.
 */
class CoreContext(seed: Long) {
    var now = Now(0, 0)
    val random = SplittableRandom(seed)
    val dropped = DroppedInputs()
    private var effects = ArrayList<Effect>()
    private val stateWaits = Int2ObjectHashMap<(StateReply) -> Unit>()
    private val cloudWaits = Int2ObjectHashMap<(CloudReply) -> Unit>()
    private val directWaits = Int2ObjectHashMap<(CommandReply) -> Unit>()
    private var nextTicket = 1

    /** Counts changes after which a placement round may find what the one before did not. */
    var changes = 0L
        private set

    fun changed() {
        changes++
    }

    val steady: Long get() = now.steady

    /** How short this controller is of processor time. */
    val overload = OverloadDetector()

    fun drain(): List<Effect> = effects.also { effects = ArrayList() }

    fun emit(effect: Effect) {
        effects.add(effect)
    }

    fun state(op: StateOp, then: (StateReply) -> Unit) {
        stateWaits.put(nextTicket, then)
        emit(Effect.State(nextTicket++, op))
    }

    fun cloud(op: CloudOp, then: (CloudReply) -> Unit) {
        cloudWaits.put(nextTicket, then)
        emit(Effect.Cloud(nextTicket++, op))
    }

    fun direct(make: (Int) -> Effect.WorkerCommand, then: (CommandReply) -> Unit) {
        directWaits.put(nextTicket, then)
        emit(make(nextTicket++))
    }

    fun reply(input: Input.State) = deliver(stateWaits.remove(input.ticket), input.reply)

    fun reply(input: Input.Cloud) = deliver(cloudWaits.remove(input.ticket), input.reply)

    fun reply(input: Input.WorkerReply) = deliver(directWaits.remove(input.ticket), input.reply)

    private fun <R> deliver(waiting: ((R) -> Unit)?, reply: R) {
        if (waiting == null) dropped.count(DroppedInput.REPLY_REPEATED) else waiting(reply)
    }

    fun info(text: String) = emit(Effect.LogEvent(Effect.Level.INFO, text))

    fun debug(text: String) = emit(Effect.LogEvent(Effect.Level.DEBUG, text))

    fun warn(text: String) = emit(Effect.LogEvent(Effect.Level.WARN, text))

    fun answer(call: Int, status: Int, body: Map<String, Any?>? = null, retryAfterS: Int = 0) =
        emit(Effect.Response(call, status, body?.let(Pack::encode), retryAfterS))

    /** Answers with a body that is encoded already. */
    fun answer(call: Int, status: Int, encoded: ByteArray) = emit(Effect.Response(call, status, encoded))
}
