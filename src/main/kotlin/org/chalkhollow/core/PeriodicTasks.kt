package org.chalkhollow.core

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.leadership.CandidateSnapshot
import org.chalkhollow.core.leadership.Leadership
import org.chalkhollow.core.operations.HeldTasks
import org.chalkhollow.core.requests.RequestHandler

/**
 * Runs the periodic work of the modules and requests the timer for the next tick. Called by [Controller] at every tick.
 */
internal class PeriodicTasks(
    private val context: CoreContext,
    private val leadership: Leadership,
    private val requests: RequestHandler,
    private val snapshot: CandidateSnapshot,
    private val fleetStep: FleetStep,
    private val heldTasks: HeldTasks,
) {
    fun tick() {
        context.overload.onTick(context.steady)
        leadership.tick()
        requests.tick()
        snapshot.tick()
        fleetStep.tick()
        heldTasks.tick(leadership.mayActAsLeader())
        requestNextTick()
    }

    private fun requestNextTick() {
        val following = leadership.role == Leadership.Role.FOLLOWER
        val next = context.steady + if (following) FOLLOWER_TICK_MS else TICK_MS
        context.overload.expectTick(next)
        context.emit(Effect.Timer(next))
    }

    private companion object {
        const val TICK_MS = 100L
        const val FOLLOWER_TICK_MS = 150L
    }
}
