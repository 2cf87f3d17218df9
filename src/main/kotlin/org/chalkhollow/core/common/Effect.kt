package org.chalkhollow.core.common

import org.chalkhollow.model.Command
import org.chalkhollow.peer.PeerMessage

/**
 * Everything that a controller can want done. The runtime carries effects out in the order in which a step gave them;
 * [org.chalkhollow.core.Controller.recheck] says which of them still hold when it comes to them late.
 */
sealed interface Effect {
    /**
     * The response to the user or worker whose request has the number [call], once for each. [status] is an HTTP
     * status, [body] is encoded, and [retryAfterS] is in seconds, 0 for no such header.
     */
    class Response(val call: Int, val status: Int, val body: ByteArray?, val retryAfterS: Int = 0) : Effect

    /** A call of the state service; its result is the [Input.State] with the same [ticket]. */
    class State(val ticket: Int, val op: StateOp) : Effect

    /** A call of the cloud; its result is the [Input.Cloud] with the same [ticket]. */
    class Cloud(val ticket: Int, val op: CloudOp) : Effect

    /**
     * Commands sent straight to the worker at [address], beside the responses to its heartbeats. The worker obeys only
     * when it is in [epoch] and has seen no newer [fencingToken]. The result is the [Input.WorkerReply] with the same
     * [ticket]. No [commands] at all only ask whether the worker can be reached.
     */
    class WorkerCommand(
        val ticket: Int,
        val address: String,
        val fencingToken: Long,
        val epoch: Long,
        val commands: List<Command>,
    ) : Effect

    /** A message to another controller; [peer] is its index among the peers. It is lost when there is no connection. */
    class Send(val peer: Int, val message: PeerMessage) : Effect

    /** Asks for [Input.Tick] at the moment [atMs] of the steady clock, in place of what was asked for before. */
    class Timer(val atMs: Long) : Effect

    /** Something of a kind took [ms] milliseconds; for histograms. */
    class Timing(val kind: String, val ms: Long) : Effect

    /** A line for the log. */
    class LogEvent(val level: Level, val text: String) : Effect

    /** The levels of the log. */
    enum class Level { ERROR, WARN, INFO, DEBUG }
}
