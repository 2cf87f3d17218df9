package org.chalkhollow.runtime

import com.google.common.util.concurrent.RateLimiter
import org.chalkhollow.peer.DroppedFrameListener
import org.slf4j.Logger

/**
 * Counts the frames of other controllers that were dropped, and logs some: malformed ones a few times a minute at most,
 * and each kind of a newer version once.
 */
@Suppress("UnstableApiUsage")
internal class DroppedFrameLogger(private val log: Logger, private val metrics: Metrics) : DroppedFrameListener {
    private val limiter = RateLimiter.create(PER_S)
    private val kinds = HashSet<String>()

    override fun malformed(peer: String?, why: String) {
        metrics.malformedFrame()
        if (limiter.tryAcquire()) {
            log.warn(
                "a frame from {} is malformed and was dropped: {}",
                peer ?: "an unknown controller",
                plain(why),
            )
        }
    }

    override fun newer(peer: String?, kind: String) {
        metrics.newerFrame()
        val name = plain(kind)
        if (kinds.size < MAX_KINDS && kinds.add(name)) {
            log.warn(
                "{} sent a message of the unknown kind \"{}\", which a newer version may know; such messages are skipped",
                peer ?: "an unknown controller",
                name,
            )
        }
    }

    /** On one line, and short. */
    private fun plain(text: String): String =
        text.take(MAX_CHARS).map { if (it.isISOControl()) ' ' else it }.joinToString("")

    private companion object {
        const val PER_S = 0.2
        const val MAX_KINDS = 16
        const val MAX_CHARS = 120
    }
}
