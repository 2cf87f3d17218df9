package org.chalkhollow.runtime

import org.chalkhollow.core.common.Now

/** The monotonic and the wall clock of this process. */
internal object SystemClocks {
    const val NANOS_PER_MS = 1_000_000L
    const val NANOS_PER_MICRO = 1000L

    /** Monotonic time in milliseconds from an arbitrary origin. */
    fun monotonicMs(): Long = System.nanoTime() / NANOS_PER_MS

    /** Monotonic and wall-clock time, for inputs of the controller. */
    fun now(): Now = Now(monotonicMs(), System.currentTimeMillis())

    /** Microseconds since [sinceNs], which is a value of `System.nanoTime()`. */
    fun microsSince(sinceNs: Long): Long = (System.nanoTime() - sinceNs) / NANOS_PER_MICRO
}
