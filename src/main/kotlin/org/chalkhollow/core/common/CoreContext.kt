package org.chalkhollow.core.common

import org.agrona.collections.Int2ObjectHashMap
import org.chalkhollow.wire.Pack
import java.util.SplittableRandom

/**
 * What the modules within a controller share: the moment, the effects of the current step, the calls whose replies are
 * pending, and a seeded random source. Owned by [org.chalkhollow.core.Controller], which sets the moment before each
 * input and takes the effects after it.
 */
class CoreContext(seed: Long) {
    /** The moment of the input that is being handled. */
    var now = Now(0, 0)

    /** The only source of random numbers in the core, so that equal inputs give equal effects. */
    val random = SplittableRandom(seed)
    val dropped = DroppedInputs()

    /** How short this controller is of processor time. */
    val overload = OverloadDetector()
    private var effects = ArrayList<Effect>()

    // What to do with the reply to each call that has none yet, by the call's ticket.
    private val pendingStateReplies = Int2ObjectHashMap<(StateReply) -> Unit>()
    private val pendingCloudReplies = Int2ObjectHashMap<(CloudReply) -> Unit>()
    private val pendingCommandReplies = Int2ObjectHashMap<(CommandReply) -> Unit>()
    private var nextTicket = 1

    /** Counts changes after which a placement round may find what the one before did not. */
    var changes = 0L
        private set

    /** The steady clock's moment, in milliseconds. */
    val steady: Long get() = now.steady

    /** Notes that a placement round may now find what the one before did not. */
    fun changed() {
        changes++
    }

    /** Takes the effects of the current step. */
    fun drain(): List<Effect> = effects.also { effects = ArrayList() }

    fun emit(effect: Effect) {
        effects.add(effect)
    }

    /** Calls the state service; [onReply] runs in the step that handles the reply. */
    fun callStateService(op: StateOp, onReply: (StateReply) -> Unit) {
        pendingStateReplies.put(nextTicket, onReply)
        emit(Effect.State(nextTicket++, op))
    }

    /** Calls the cloud; [onReply] runs in the step that handles the reply. */
    fun callCloud(op: CloudOp, onReply: (CloudReply) -> Unit) {
        pendingCloudReplies.put(nextTicket, onReply)
        emit(Effect.Cloud(nextTicket++, op))
    }

    /** Sends the commands that [commands] makes for a ticket; [onReply] runs in the step that handles the reply. */
    fun sendCommands(commands: (ticket: Int) -> Effect.WorkerCommand, onReply: (CommandReply) -> Unit) {
        pendingCommandReplies.put(nextTicket, onReply)
        emit(commands(nextTicket++))
    }

    fun reply(input: Input.State) = deliver(pendingStateReplies.remove(input.ticket), input.reply)

    fun reply(input: Input.Cloud) = deliver(pendingCloudReplies.remove(input.ticket), input.reply)

    fun reply(input: Input.WorkerReply) = deliver(pendingCommandReplies.remove(input.ticket), input.reply)

    /** Every call is replied to once; what comes beyond that is a copy. */
    private fun <R> deliver(onReply: ((R) -> Unit)?, reply: R) {
        if (onReply == null) dropped.count(DroppedInput.REPLY_REPEATED) else onReply(reply)
    }

    fun info(text: String) = emit(Effect.LogEvent(Effect.Level.INFO, text))

    fun debug(text: String) = emit(Effect.LogEvent(Effect.Level.DEBUG, text))

    fun warn(text: String) = emit(Effect.LogEvent(Effect.Level.WARN, text))

    /** Responds to the request [call] of a user or worker; [body] is encoded here. */
    fun respond(call: Int, status: Int, body: Map<String, Any?>? = null, retryAfterS: Int = 0) =
        emit(Effect.Response(call, status, body?.let(Pack::encode), retryAfterS))

    /** Responds with a body that is encoded already. */
    fun respond(call: Int, status: Int, encoded: ByteArray) = emit(Effect.Response(call, status, encoded))
}
