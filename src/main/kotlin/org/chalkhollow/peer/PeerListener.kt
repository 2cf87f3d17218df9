package org.chalkhollow.peer

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt

/**
 * Told of what came from other controllers and was dropped; [peer] is null before the connection has said whose it is.
 */
interface DroppedFrameListener {
    fun malformed(peer: String?, why: String)

    fun newer(peer: String?, kind: String)
}

/** Reads what one connection from another controller brings. */
class PeerListener(
    private val labels: List<String>,
    private val dropped: DroppedFrameListener,
    private val greeted: (Int, PeerMessage.Hello) -> Unit = { _, _ -> },
    private val receive: (Int, PeerMessage) -> Unit,
) {
    /**
     * Reads frames until the connection ends or cannot be read any further: where a frame's end is not known, or nobody
     * that we know is calling. A frame that is malformed or of a newer version's kind is dropped, and the next one is
     * read.
     */
    suspend fun readFrames(input: ByteReadChannel) {
        var peer = -1
        while (true) {
            val size = input.readInt()
            if (size !in 1..Frames.MAX) return dropped.malformed(labels.getOrNull(peer), "a frame of $size bytes")
            when (val frame = Frames.read(input.readByteArray(size))) {
                is Frame.Malformed -> dropped.malformed(labels.getOrNull(peer), frame.why)
                is Frame.Newer -> dropped.newer(labels.getOrNull(peer), frame.kind)
                is Frame.Known -> {
                    val message = frame.message
                    if (message is PeerMessage.Hello) {
                        peer = labels.indexOf(message.label)
                        if (peer >= 0) greeted(peer, message)
                    } else if (peer >= 0) {
                        receive(peer, message)
                    } else {
                        return dropped.malformed(null, "a message from nobody that is known")
                    }
                }
            }
        }
    }
}
