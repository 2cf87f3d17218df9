package org.chalkhollow.core.common

import org.chalkhollow.model.Change
import org.chalkhollow.model.Condition
import org.chalkhollow.model.KeyValue
import org.chalkhollow.model.KeyValuePage

/** Operations on the state service, a consensus-backed key-value store. */
sealed interface StateOp {
    /** Reads one key. */
    data class Read(val key: String) : StateOp

    /** Reads a page of the keys that begin with [prefix], in their order, beginning after the key [after]. */
    data class List(val prefix: String, val after: String?) : StateOp

    /**
     * Compare-and-swap: applies all [changes], each with the same new revision, if all [conditions] hold, and else
     * none.
     */
    data class Commit(
        val conditions: kotlin.collections.List<Condition>,
        val changes: kotlin.collections.List<Change>,
    ) : StateOp
}

/** Results of calls of the state service. */
sealed interface StateReply {
    /** The key that [StateOp.Read] asked for. */
    data class Found(val row: KeyValue) : StateReply

    /** The key that [StateOp.Read] asked for does not exist. */
    data object Missing : StateReply

    /** What [StateOp.List] asked for. */
    data class Page(val rows: KeyValuePage) : StateReply

    /** [StateOp.Commit] was applied; the changed keys have [revision]. */
    data class Committed(val revision: Long) : StateReply

    /** [StateOp.Commit] was not applied: the conditions on the keys [failed] did not hold. */
    data class Conflict(val failed: List<String>) : StateReply

    /** The call was certainly not executed, for want of service, connection or rate: it may be repeated. */
    data object Unavailable : StateReply

    /** No response that could be read: the call was applied now, will be applied later, or never. */
    data object NoResponse : StateReply

    /** The service refuses the call for what it is, [reason]; this sending of it was not executed. */
    data class Rejected(val reason: String) : StateReply
}
