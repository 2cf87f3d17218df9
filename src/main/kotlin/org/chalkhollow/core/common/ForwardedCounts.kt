package org.chalkhollow.core.common

/** What became of the users' requests that a follower received, since its process started. */
data class ForwardedCounts(
    /** The leader responded in time. */
    val answered: Long = 0,
    /** Forwarded, but the leader did not respond in time. */
    val timedOut: Long = 0,
    /** Not forwarded: no ready leader was known, or too many requests were pending. */
    val rejected: Long = 0,
)
