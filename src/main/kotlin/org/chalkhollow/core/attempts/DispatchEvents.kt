package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.HoldReason

/** What becomes of the allocations of a placement round, published by [DispatchLog]. */
interface DispatchEvents {
    /** The tasks of [allocation] are in no dispatch marker for [reason] and stay pending. */
    fun onHeld(allocation: Allocation, reason: HoldReason)

    /** The dispatch markers of [allocations] are being written. */
    fun onDispatching(allocations: List<Allocation>)

    /** The dispatch markers of [allocations] are durable, so their tasks may be started. */
    fun onDispatched(allocations: List<Allocation>)

    /** The state service rejected the dispatch markers of [allocations]; their tasks are pending again. */
    fun onRejected(allocations: List<Allocation>)
}
