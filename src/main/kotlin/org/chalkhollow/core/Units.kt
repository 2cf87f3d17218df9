package org.chalkhollow.core

import org.chalkhollow.settings.PlatformSettings

/** Milliseconds in a second; settings tell times in seconds, the core counts in milliseconds. */
internal const val MS_PER_S = 1000.0

/** How long a worker may run without an answer to its reports. */
internal val PlatformSettings.leaseMs: Long get() = (leaseS * MS_PER_S).toLong()
