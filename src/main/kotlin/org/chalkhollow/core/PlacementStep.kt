package org.chalkhollow.core

import org.chalkhollow.core.attempts.DispatchLog
import org.chalkhollow.core.attempts.WorkerCommandSender
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.placement.Placement
import org.chalkhollow.core.storage.StateWriter
import org.chalkhollow.core.storage.TransactionBudget
import org.chalkhollow.core.storage.Write
import org.chalkhollow.core.storage.WriteProducer

/**
 * Decides when a placement round runs, and gives its dispatch markers to the next transaction: they are durable before
 * any start is sent. Called by [StateWriter] as one of its producers.
 */
internal class PlacementStep(
    private val context: CoreContext,
    private val term: LeaderTerm,
    private val writer: StateWriter,
    private val placement: Placement,
    private val commands: WorkerCommandSender,
    private val dispatch: DispatchLog,
) : WriteProducer {
    private var nextRoundAt = 0L

    /** [CoreContext.changes] when the last round ran. */
    private var changesPlaced = -1L

    override fun next(room: TransactionBudget): Write? {
        if (!term.recordsLoaded || room.ops < 1 || !isDue()) return null
        changesPlaced = context.changes
        nextRoundAt = context.steady + ROUND_MS + context.overload.tickDelayMs * ROUND_DELAY_PER_LATE_MS
        val allocations = placement.round()
        placement.preempted.forEach(commands::send)
        if (allocations.isNotEmpty()) context.changed() // what did not fit into this transaction comes with the next
        return dispatch.writeMarkers(allocations, room)
    }

    /** Rounds cost processor time, of which there is little: without a change they run far less often. */
    private fun isDue(): Boolean {
        if (context.steady < nextRoundAt || writer.stalled()) return false
        return context.changes != changesPlaced || context.steady >= nextRoundAt + IDLE_ROUND_MS
    }

    private companion object {
        const val ROUND_MS = 100L

        /** So much longer waits a round when nothing has changed; time alone also decides some placements. */
        const val IDLE_ROUND_MS = 900L

        /** For each millisecond that ticks are late, placement rounds wait so many more. */
        const val ROUND_DELAY_PER_LATE_MS = 2
    }
}
