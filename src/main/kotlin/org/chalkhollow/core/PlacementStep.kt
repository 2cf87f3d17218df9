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
 * Decides when a placement round runs, and adds its dispatch markers to the next transaction, so that they are durable
 * before any start is sent. Called by [StateWriter] as one of its producers.
 */
internal class PlacementStep(
    private val context: CoreContext,
    private val term: LeaderTerm,
    private val writer: StateWriter,
    private val placement: Placement,
    private val commands: WorkerCommandSender,
    private val dispatch: DispatchLog,
) : WriteProducer {
    private var nextRoundAtMs = 0L

    /** [CoreContext.changes] when the last round ran. */
    private var changesAtLastRound = -1L

    /** Whether the last write came from a round, so that rounds and markers of gangs take turns. */
    private var isGangNext = false

    override fun next(budget: TransactionBudget): Write? {
        if (!term.recordsLoaded || budget.ops < 1) return null
        if (dispatch.hasGangWrites && (isGangNext || !isDue())) {
            isGangNext = false
            return dispatch.nextGangWrite(budget)
        }
        if (!isDue()) return null
        isGangNext = true
        changesAtLastRound = context.changes
        nextRoundAtMs = context.steady + ROUND_INTERVAL_MS + context.overload.tickDelayMs * EXTRA_MS_PER_TICK_DELAY_MS
        val allocations = placement.round()
        placement.preempted.forEach(commands::send)
        if (allocations.isNotEmpty()) context.changed() // some may not have fit into this transaction
        return dispatch.prepareMarkerWrite(allocations, budget, placement)
    }

    /** Rounds are expensive in processor time, so without a change they run far less often. */
    private fun isDue(): Boolean {
        if (context.steady < nextRoundAtMs || writer.isStalled()) return false
        return context.changes != changesAtLastRound || context.steady >= nextRoundAtMs + UNCHANGED_DELAY_MS
    }

    private companion object {
        const val ROUND_INTERVAL_MS = 100L

        /**
         * Extra delay of a round if nothing has changed. Rounds still run then, because some placements become possible
         * by time.
         */
        const val UNCHANGED_DELAY_MS = 900L

        /** Milliseconds by which the interval grows for each millisecond of tick delay. */
        const val EXTRA_MS_PER_TICK_DELAY_MS = 2
    }
}
