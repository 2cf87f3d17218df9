package org.chalkhollow.core.common

import org.chalkhollow.core.Controller

/**
 * Owns how short a controller is of processor time, as told by how late its ticks come. What can wait then waits
 * longer, so that renewals of the lead, workers' leases and users get what there is. Kept by [Controller].
 */
class OverloadDetector {
    /** By how much ticks have lately been late, in milliseconds: up at once, down over some ticks, bounded. */
    var lateMs = 0L
        private set
    private var tickDueAt = NEVER

    /** Whether work that is done again by other means is to be left to those. */
    val high: Boolean get() = lateMs >= HIGH_MS

    /** A tick has come at [t]. */
    fun ticked(t: Long) {
        if (tickDueAt == NEVER) return
        val late = (t - tickDueAt).coerceIn(0, MAX_MS)
        lateMs = maxOf(late, (lateMs * (KEPT - 1) + late) / KEPT)
    }

    /** The next tick is asked for at [t]. */
    fun nextTickAt(t: Long) {
        tickDueAt = t
    }

    private companion object {
        /** A process that stood still for long is not short of processor time for as long. */
        const val MAX_MS = 1000L

        /** Timers fire in steps of a few milliseconds, and a round or a collection takes some more. */
        const val HIGH_MS = 100L

        /** One part in this many is forgotten with each tick. */
        const val KEPT = 4
    }
}
