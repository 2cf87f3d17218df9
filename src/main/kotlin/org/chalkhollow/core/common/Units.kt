package org.chalkhollow.core.common

import org.chalkhollow.settings.PlatformSettings

/** Settings are in seconds; the core uses milliseconds. */
internal const val MS_PER_S = 1000.0

/** A time before all others; subtracting it from another time does not overflow. */
internal const val NEVER = Long.MIN_VALUE / 4

/** The monotonic clocks of two controllers drift apart by less than one part in this many. */
private const val CLOCK_DRIFT_DIVISOR = 500

/** Covers the rounding of times to milliseconds and the delay between the arrival and the handling of an input. */
private const val ROUNDING_MS = 10

/** A duration on this controller's clock within which [ms] have certainly not passed on another controller's. */
internal fun minusClockDrift(ms: Long): Long = ms - ms / CLOCK_DRIFT_DIVISOR - ROUNDING_MS

/** A duration on this controller's clock after which [ms] have certainly passed on another controller's. */
internal fun plusClockDrift(ms: Long): Long = ms + ms / CLOCK_DRIFT_DIVISOR + ROUNDING_MS

/** How long a worker may run tasks without a response to its heartbeats, in milliseconds. */
internal val PlatformSettings.leaseMs: Long get() = (workerLeaseS * MS_PER_S).toLong()
