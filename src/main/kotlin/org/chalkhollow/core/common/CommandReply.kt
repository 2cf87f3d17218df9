package org.chalkhollow.core.common

import org.chalkhollow.model.WorkerHeartbeat

/** Results of [Effect.WorkerCommand]. */
sealed interface CommandReply {
    /** The worker executed the commands; [heartbeat] tells its state after that. */
    data class Executed(val heartbeat: WorkerHeartbeat) : CommandReply

    /**
     * The worker executed nothing, since it is in another epoch or knows a newer fencing token; [heartbeat] tells its
     * state.
     */
    data class Rejected(val heartbeat: WorkerHeartbeat) : CommandReply

    /** The commands were certainly not executed: no connection could be made, or the worker could not read them. */
    data object NotSent : CommandReply

    /**
     * No response that could be read: the commands were applied now, will be applied later, or never. They may be
     * applied for as long as the worker knows no newer fencing token.
     */
    data object NoResponse : CommandReply
}
