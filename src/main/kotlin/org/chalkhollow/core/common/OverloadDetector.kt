package org.chalkhollow.core.common

/**
 * Tells how short a controller is of processor time, from how late its ticks come. What can wait then waits longer, so
 * that renewals of the leadership record, heartbeats and users get the time there is. Kept in [CoreContext].
 */
class OverloadDetector {
    /** How late ticks have lately been, in milliseconds: rises at once, falls over some ticks, at most [MAX_MS]. */
    var tickDelayMs = 0L
        private set
    private var nextTickDueAt = NEVER

    /** Whether to leave undone what is done again by other means, such as commands that heartbeats repeat. */
    val overloaded: Boolean get() = tickDelayMs >= OVERLOADED_MS

    /** A tick has come at [now], by the steady clock. */
    fun onTick(now: Long) {
        if (nextTickDueAt == NEVER) return
        val delay = (now - nextTickDueAt).coerceIn(0, MAX_MS)
        val decayed = (tickDelayMs * (DECAY_TICKS - 1) + delay) / DECAY_TICKS
        tickDelayMs = maxOf(delay, decayed)
    }

    /** The next tick is due at [dueAt], by the steady clock. */
    fun expectTick(dueAt: Long) {
        nextTickDueAt = dueAt
    }

    private companion object {
        /** A process that was suspended for a minute is not short of processor time for a minute. */
        const val MAX_MS = 1000L

        /** Timers fire in steps of a few milliseconds, and a placement round or garbage collection takes some more. */
        const val OVERLOADED_MS = 100L

        /** With each tick in time, one part in this many of the delay decays. */
        const val DECAY_TICKS = 4
    }
}
