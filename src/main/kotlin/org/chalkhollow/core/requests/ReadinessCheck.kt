package org.chalkhollow.core.requests

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Readiness
import org.chalkhollow.core.leadership.Leadership
import org.chalkhollow.model.HttpStatus

/**
 * Decides whether users may send requests to this controller, and logs each change with its reason. Owns the last
 * logged state. Called by [RequestHandler] at every tick.
 */
internal class ReadinessCheck(
    private val context: CoreContext,
    private val leadership: Leadership,
    private val probe: LeaderProbe,
) {
    private var logged: Readiness? = null

    /** The state at this moment. */
    fun current(): Readiness =
        when {
            leadership.mayActAsLeader() -> Readiness.LEADING
            !leadership.hasLeaderContact(LEADER_CONTACT_MS) -> Readiness.NO_LEADER_CONTACT
            !probe.leaderResponds -> Readiness.LEADER_NOT_RESPONDING
            else -> Readiness.LEADER_IN_CONTACT
        }

    fun tick() {
        val state = current()
        val before = logged
        logged = state
        if (before == null || before.accepts == state.accepts) return
        val status = if (state.accepts) HttpStatus.OK else HttpStatus.UNAVAILABLE
        context.info("GET /up responds with $status from now on: ${state.description}")
    }

    private companion object {
        /** A follower without contact to a leader for this long accepts no user requests. */
        const val LEADER_CONTACT_MS = 3500L
    }
}
