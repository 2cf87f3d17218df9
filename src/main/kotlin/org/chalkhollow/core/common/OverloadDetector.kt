package org.chalkhollow.core.common

/**
 * Detects a shortage of processor time from the delay of a controller's ticks. Work that can wait is then delayed, so
 * that renewals of the leadership record, heartbeats and user requests get the available time. Kept in [CoreContext].
 */
class OverloadDetector {
    /**
     * The delay of recent ticks, at most [MAX_MS]. It rises with one late tick and decays over several punctual ones.
     */
    var tickDelayMs = 0L
        private set
    private var nextTickDueAtMs = NEVER

    /**
     * Whether to skip work that is repeated by other means, such as commands that the responses to heartbeats repeat.
     */
    val overloaded: Boolean get() = tickDelayMs >= OVERLOADED_MS

    /** A tick is handled at [now], in monotonic time. */
    fun onTick(now: Long) {
        if (nextTickDueAtMs == NEVER) return
        val delayMs = (now - nextTickDueAtMs).coerceIn(0, MAX_MS)
        val decayedMs = (tickDelayMs * (DECAY_TICKS - 1) + delayMs) / DECAY_TICKS
        tickDelayMs = maxOf(delayMs, decayedMs)
    }

    /** The next tick is due at [dueAtMs], in monotonic time. */
    fun expectTick(dueAtMs: Long) {
        nextTickDueAtMs = dueAtMs
    }

    private companion object {
        /**
         * Bounds the effect of a pause: a process that was suspended for a minute is not overloaded for a minute after
         * it.
         */
        const val MAX_MS = 1000L

        /**
         * Larger than the timer resolution of a few milliseconds plus a placement round or a garbage collection pause.
         */
        const val OVERLOADED_MS = 100L

        /** With each punctual tick, the delay falls by one part in this many. */
        const val DECAY_TICKS = 4
    }
}
