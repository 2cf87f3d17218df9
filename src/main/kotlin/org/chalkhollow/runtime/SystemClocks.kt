package org.chalkhollow.runtime

import org.chalkhollow.core.common.Now

/** The clocks of this process. */
internal object SystemClocks {
    const val NANOS_PER_MS = 1_000_000L
    const val NANOS_PER_MICRO = 1000L

    /** The steady clock in milliseconds; only differences mean anything. */
    fun monotonicMs(): Long = System.nanoTime() / NANOS_PER_MS

    /** Both clocks as the core takes them. */
    fun now(): Now = Now(monotonicMs(), System.currentTimeMillis())

    /** Microseconds since [sinceNs], which is a value of `System.nanoTime()`. */
    fun microsSince(sinceNs: Long): Long = (System.nanoTime() - sinceNs) / NANOS_PER_MICRO
}
