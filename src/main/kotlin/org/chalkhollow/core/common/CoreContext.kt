package org.chalkhollow.core.common

import org.agrona.collections.Int2ObjectHashMap
import org.chalkhollow.wire.Pack
import java.util.SplittableRandom

/**
 * What the modules of a controller share: the current time, the effects of the current step, the calls that wait for
 * their replies, and a seeded random source. Owned by [org.chalkhollow.core.Controller], which sets the time before
 * each input and takes the effects after it.
 */
class CoreContext(seed: Long) {
    /** The time of the input that is being handled. */
    var now = Now(0, 0)

    /** The only source of random numbers in the core, so that equal inputs produce equal effects. */
    val random = SplittableRandom(seed)
    val dropped = DroppedInputs()
    val overload = OverloadDetector()
    private var effects = ArrayList<Effect>()

    // Reply handlers of calls that have no reply yet, by ticket.
    private val pendingStateReplies = Int2ObjectHashMap<(StateReply) -> Unit>()
    private val pendingCloudReplies = Int2ObjectHashMap<(CloudReply) -> Unit>()
    private val pendingCommandReplies = Int2ObjectHashMap<(CommandReply) -> Unit>()
    private var nextTicket = 1

    /** Counts changes after which a placement round may have another result than the last one. */
    var changes = 0L
        private set

    /** The current monotonic time in milliseconds. */
    val steady: Long get() = now.steady

    /** To be called after a change that can alter the result of a placement round. */
    fun changed() {
        changes++
    }

    /** Returns the effects of the current step and clears them. */
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

    /** Sends the commands that [commands] creates for a ticket; [onReply] runs in the step that handles the reply. */
    fun sendCommands(commands: (ticket: Int) -> Effect.WorkerCommand, onReply: (CommandReply) -> Unit) {
        pendingCommandReplies.put(nextTicket, onReply)
        emit(commands(nextTicket++))
    }

    fun reply(input: Input.State) = deliver(pendingStateReplies.remove(input.ticket), input.reply)

    fun reply(input: Input.Cloud) = deliver(pendingCloudReplies.remove(input.ticket), input.reply)

    fun reply(input: Input.WorkerReply) = deliver(pendingCommandReplies.remove(input.ticket), input.reply)

    /** Each call gets one reply; any further reply is a duplicate and is dropped. */
    private fun <R> deliver(onReply: ((R) -> Unit)?, reply: R) {
        if (onReply == null) dropped.count(DroppedInput.REPLY_REPEATED) else onReply(reply)
    }

    fun info(text: String) = emit(Effect.LogEvent(Effect.Level.INFO, text))

    fun debug(text: String) = emit(Effect.LogEvent(Effect.Level.DEBUG, text))

    fun warn(text: String) = emit(Effect.LogEvent(Effect.Level.WARN, text))

    /** Responds to the request [call] of a user or worker, after encoding [body]. */
    fun respond(call: Int, status: Int, body: Map<String, Any?>? = null, retryAfterS: Int = 0) =
        emit(Effect.Response(call, status, body?.let(Pack::encode), retryAfterS))

    /** Responds with a body that is already encoded. */
    fun respond(call: Int, status: Int, encoded: ByteArray) = emit(Effect.Response(call, status, encoded))
}
