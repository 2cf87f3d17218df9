package org.chalkhollow.runtime

import com.google.common.util.concurrent.RateLimiter
import org.chalkhollow.peer.DroppedFrameListener
import org.slf4j.Logger

/**
 * Counts dropped frames of other controllers and logs some of them: malformed frames at a limited rate, each unknown
 * kind of message, which a newer version sends, once.
 */
@Suppress("UnstableApiUsage") // Guava's RateLimiter is marked @Beta
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
            log.warn(
                "dropping messages of the unknown kind \"{}\" from {}; each kind is logged once",
                name,
                peer ?: UNKNOWN_PEER,
            )
        }
    }

    /** Makes [text], which another process chose, a single line of limited length. */
    private fun printable(text: String): String =
        text.take(MAX_CHARS).map { if (it.isISOControl()) ' ' else it }.joinToString("")

    private companion object {
        const val MAX_WARNINGS_PER_S = 0.2
        const val MAX_LOGGED_KINDS = 16
        const val MAX_CHARS = 120
        const val UNKNOWN_PEER = "an unknown controller"
    }
}
