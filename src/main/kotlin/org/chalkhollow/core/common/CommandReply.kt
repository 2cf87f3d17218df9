package org.chalkhollow.core.common

import org.chalkhollow.model.WorkerHeartbeat

/** Results of [Effect.WorkerCommand]. */
sealed interface CommandReply {
    /** The worker executed the commands; [heartbeat] is its state afterwards. */
    data class Executed(val heartbeat: WorkerHeartbeat) : CommandReply

    /**
     * The worker executed nothing: it is in another epoch or has seen a newer fencing token. [heartbeat] is its state.
     */
    data class Rejected(val heartbeat: WorkerHeartbeat) : CommandReply

    /** The commands were certainly not executed: no connection could be made, or the worker could not read them. */
    data object NotSent : CommandReply

    /**
     * No readable response arrived. The commands may have been executed. The worker may still execute them until it
     * sees a newer fencing token.
     */
    data object NoResponse : CommandReply
}
