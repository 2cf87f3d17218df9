package org.chalkhollow.core.common

import org.chalkhollow.model.WorkerHeartbeat
import org.chalkhollow.peer.PeerMessage

/**
 * The time of an input in milliseconds. [steady] is the monotonic time since an arbitrary start. [wall] is the
 * wall-clock time since the Unix epoch, used only for logs, status, stored records and comparisons with stored times.
 */
data class Now(val steady: Long, val wall: Long)

/**
 * An event that a controller handles. Inputs are handled one at a time, in the order of their arrival. Any input may be
 * late or missing, and inputs from the network may be duplicated.
 */
sealed interface Input {
    /** The timer set by the last [Effect.Timer] has fired. */
    data object Tick : Input

    /** A user's request. [call] is not negative and identifies it until the [Effect.Response] with the same number. */
    class User(val call: Int, val request: UserRequest) : Input

    /** A worker's heartbeat; the [Effect.Response] to it has the same [call]. */
    class Heartbeat(val call: Int, val heartbeat: WorkerHeartbeat) : Input

    /** A heartbeat that was not decoded because this controller was not the leader when it arrived. */
    class UndecodedHeartbeat(val call: Int) : Input

    /** The result of the [Effect.State] with the same [ticket]. */
    class State(val ticket: Int, val reply: StateReply) : Input

    /** The result of the [Effect.Cloud] with the same [ticket]. */
    class Cloud(val ticket: Int, val reply: CloudReply) : Input

    /** The result of the [Effect.WorkerCommand] with the same [ticket]. */
    class WorkerReply(val ticket: Int, val reply: CommandReply) : Input

    /** A message from another controller; [from] is its index among the peers in the settings. */
    class Peer(val from: Int, val message: PeerMessage) : Input
}
