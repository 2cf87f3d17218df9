package org.chalkhollow.core.common

import org.chalkhollow.model.WorkerHeartbeat
import org.chalkhollow.peer.PeerMessage

/**
 * The moment of an input, in milliseconds: [steady] never jumps and counts from an arbitrary start of this process,
 * [wall] is the time of day since the Unix epoch and is only for what people and stored records are told.
 */
data class Now(val steady: Long, val wall: Long)

/**
 * Everything that can happen to a controller. Inputs are handled one at a time, in the order in which they arrived; any
 * of them may come late, or not at all, and what comes over the network may come twice.
 */
sealed interface Input {
    /** The moment of the last [Effect.Timer] has come. */
    data object Tick : Input

    /** A user's request. [call] identifies it until the [Effect.Response] with the same number, and is not negative. */
    class User(val call: Int, val request: UserRequest) : Input

    /** A worker's heartbeat, to be responded to as [call]. */
    class Heartbeat(val call: Int, val heartbeat: WorkerHeartbeat) : Input

    /** A heartbeat that came while this controller was not the leader, so that its content was not decoded. */
    class UnreadHeartbeat(val call: Int) : Input

    /** The result of the [Effect.State] with the same [ticket]. */
    class State(val ticket: Int, val reply: StateReply) : Input

    /** The result of the [Effect.Cloud] with the same [ticket]. */
    class Cloud(val ticket: Int, val reply: CloudReply) : Input

    /** The result of the [Effect.WorkerCommand] with the same [ticket]. */
    class WorkerReply(val ticket: Int, val reply: CommandReply) : Input

    /** A message of another controller; [from] is its index among the peers in the settings. */
    class Peer(val from: Int, val message: PeerMessage) : Input
}
