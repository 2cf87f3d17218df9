package org.chalkhollow.core.common

import org.chalkhollow.settings.PlatformSettings

/** Milliseconds in a second; settings tell times in seconds, the core counts in milliseconds. */
internal const val MS_PER_S = 1000.0

/** A moment before all others, without overflow when it is subtracted from one. */
internal const val NEVER = Long.MIN_VALUE / 4

/** Two steady clocks drift apart by less than one part in this many. */
private const val DRIFT_OF = 500

/** Moments are rounded to milliseconds, and inputs are handled a little after they came. */
private const val ROUNDING_MS = 10

/** What is certainly not over on another controller's clock when [ms] have passed on its own. */
internal fun minusClockDrift(ms: Long): Long = ms - ms / DRIFT_OF - ROUNDING_MS

/** After how long by our clock [ms] have certainly passed on another controller's. */
internal fun plusClockDrift(ms: Long): Long = ms + ms / DRIFT_OF + ROUNDING_MS

/** How long a worker may run without an answer to its reports. */
internal val PlatformSettings.leaseMs: Long get() = (leaseS * MS_PER_S).toLong()
