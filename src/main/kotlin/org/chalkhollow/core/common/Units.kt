package org.chalkhollow.core.common

import org.chalkhollow.settings.PlatformSettings

/** Milliseconds in a second; settings are in seconds, the core counts in milliseconds. */
internal const val MS_PER_S = 1000.0

/** A moment before all others; subtracting it from a moment does not overflow. */
internal const val NEVER = Long.MIN_VALUE / 4

/** Two steady clocks drift apart by less than one part in this many. */
private const val MAX_DRIFT_FRACTION = 500

/** Moments are rounded to milliseconds, and inputs are handled a little after they came. */
private const val ROUNDING_MS = 10

/** A duration that is certainly not over on another controller's clock when [ms] have passed on ours. */
internal fun minusClockDrift(ms: Long): Long = ms - ms / MAX_DRIFT_FRACTION - ROUNDING_MS

/** A duration after which, by our clock, [ms] have certainly passed on another controller's. */
internal fun plusClockDrift(ms: Long): Long = ms + ms / MAX_DRIFT_FRACTION + ROUNDING_MS

/** How long a worker may run tasks without a response to its heartbeats, in milliseconds. */
internal val PlatformSettings.leaseMs: Long get() = (leaseS * MS_PER_S).toLong()
