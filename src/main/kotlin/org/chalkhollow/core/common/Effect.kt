package org.chalkhollow.core.common

import org.chalkhollow.model.Command
import org.chalkhollow.peer.PeerMessage

/**
 * An action that a controller requests. The runtime executes the effects of a step in their order. If it executes one
 * late, it first passes it to [org.chalkhollow.core.Controller.recheck].
 */
sealed interface Effect {
    /**
     * The response to the request [call] of a user or worker, exactly one for each request. [status] is an HTTP status,
     * [body] is encoded, and [retryAfterS] is the value of the header in seconds, or 0 for none.
     */
    class Response(val call: Int, val status: Int, val body: ByteArray?, val retryAfterS: Int = 0) : Effect

    /** A call to the state service; its result is the [Input.State] with the same [ticket]. */
    class State(val ticket: Int, val op: StateOp) : Effect

    /** A call to the cloud; its result is the [Input.Cloud] with the same [ticket]. */
    class Cloud(val ticket: Int, val op: CloudOp) : Effect

    /**
     * Commands sent directly to the worker at [address] instead of with the response to its heartbeat. The worker
     * executes them only if it is in [epoch] and has seen no newer [fencingToken]. The result is the
     * [Input.WorkerReply] with the same [ticket]. Without [commands] it is a probe that only checks whether the worker
     * is reachable.
     */
    class WorkerCommand(
        val ticket: Int,
        val address: String,
        val fencingToken: Long,
        val epoch: Long,
        val commands: List<Command>,
    ) : Effect

    /** A message to another controller; [peer] is its index among the peers. It is lost if there is no connection. */
    class Send(val peer: Int, val message: PeerMessage) : Effect

    /** Requests [Input.Tick] at the monotonic time [atMs] and replaces the previous timer. */
    class Timer(val atMs: Long) : Effect

    /** A duration of [ms] milliseconds for the histogram [kind]. */
    class Timing(val kind: String, val ms: Long) : Effect

    class LogEvent(val level: Level, val text: String) : Effect

    enum class Level { ERROR, WARN, INFO, DEBUG }
}
