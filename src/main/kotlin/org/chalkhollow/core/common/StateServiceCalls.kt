package org.chalkhollow.core.common

import org.chalkhollow.model.Change
import org.chalkhollow.model.Condition
import org.chalkhollow.model.KeyValue
import org.chalkhollow.model.KeyValuePage

/** Operations on the state service, a consensus-backed key-value store. */
sealed interface StateOp {
    /** Reads one key. */
    data class Read(val key: String) : StateOp

    /**
     * Reads a page of the keys that begin with [prefix], in key order; [after] is the last key of the page before, or
     * null.
     */
    data class List(val prefix: String, val after: String?) : StateOp

    /**
     * Compare-and-swap: if all [conditions] hold, applies all [changes] with the same new revision; otherwise applies
     * none.
     */
    data class Commit(
        val conditions: kotlin.collections.List<Condition>,
        val changes: kotlin.collections.List<Change>,
    ) : StateOp
}

/** Results of calls to the state service. */
sealed interface StateReply {
    /** The row that [StateOp.Read] requested. */
    data class Found(val row: KeyValue) : StateReply

    /** The key that [StateOp.Read] requested does not exist. */
    data object Missing : StateReply

    /** The page that [StateOp.List] requested. */
    data class Page(val rows: KeyValuePage) : StateReply

    /** [StateOp.Commit] was applied; the changed keys now have [revision]. */
    data class Committed(val revision: Long) : StateReply

    /** [StateOp.Commit] was not applied: the conditions on the keys [failed] did not hold. */
    data class Conflict(val failed: List<String>) : StateReply

    /**
     * The call was certainly not executed: the service was unavailable, no connection could be made, or a rate limit
     * was reached. It may be retried.
     */
    data object Unavailable : StateReply

    /** No readable response arrived: the call may have been executed, may still be executed later, or never. */
    data object NoResponse : StateReply

    /**
     * The service rejects the content of the call, for [reason]. This send was not executed; an earlier send of the
     * same call may have been.
     */
    data class Rejected(val reason: String) : StateReply
}
