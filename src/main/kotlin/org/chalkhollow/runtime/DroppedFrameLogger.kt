package org.chalkhollow.runtime

import com.google.common.util.concurrent.RateLimiter
import org.chalkhollow.peer.DroppedFrameListener
import org.slf4j.Logger

/**
 * Counts the frames of other controllers that were dropped, and logs some: malformed ones a few times a minute at most,
 * and each kind of a newer version once.
 */
@Suppress("UnstableApiUsage") // Guava's rate limiter is marked as beta
internal class DroppedFrameLogger(private val log: Logger, private val metrics: Metrics) : DroppedFrameListener {
    private val limiter = RateLimiter.create(MAX_WARNINGS_PER_S)
    private val loggedKinds = HashSet<String>()

    override fun onMalformed(peer: String?, reason: String) {
        metrics.countMalformedFrame()
        if (limiter.tryAcquire()) {
            log.warn("dropped a malformed frame from {}: {}", peer ?: UNKNOWN_PEER, printable(reason))
        }
    }

    override fun onUnknownKind(peer: String?, kind: String) {
        metrics.countUnknownFrame()
        val name = printable(kind)
        if (loggedKinds.size < MAX_LOGGED_KINDS && loggedKinds.add(name)) {
            log.warn("skipping messages of the unknown kind \"{}\" from {}", name, peer ?: UNKNOWN_PEER)
        }
    }

    /** [text], which another process chose, on one line and short. */
    private fun printable(text: String): String =
        text.take(MAX_CHARS).map { if (it.isISOControl()) ' ' else it }.joinToString("")

    private companion object {
        const val MAX_WARNINGS_PER_S = 0.2
        const val MAX_LOGGED_KINDS = 16
        const val MAX_CHARS = 120
        const val UNKNOWN_PEER = "an unknown controller"
    }
}
