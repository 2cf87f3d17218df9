package org.chalkhollow.peer

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt

/**
 * Callbacks for frames of other controllers that were dropped; `peer` is the label, or null before the connection has
 * said whose it is.
 */
interface DroppedFrameListener {
    /** A frame that could not be read, and why. */
    fun onMalformed(peer: String?, reason: String)

    /** A frame of a [kind] that this version does not know. */
    fun onUnknownKind(peer: String?, kind: String)
}

/** Callbacks for the messages of other controllers, which are named by their index in the settings. */
interface PeerMessageListener {
    /** The first message on a connection. */
    fun onHello(peer: Int, hello: PeerMessage.Hello)

    /** Any later message. */
    fun onMessage(peer: Int, message: PeerMessage)
}

/** Reads the frames of connections that controllers with these [labels] have opened. */
class PeerFrameReader(
    private val labels: List<String>,
    private val dropped: DroppedFrameListener,
    private val listener: PeerMessageListener,
) {
    /**
     * Reads frames until the connection ends or cannot be read any further: where a frame's end is not known, or the
     * caller is not known. A frame that is malformed or of a newer version's kind is dropped, and the next one is read.
     * Throws what the channel throws, `EOFException` at its end.
     */
    suspend fun readFrames(input: ByteReadChannel) {
        var peer = UNKNOWN
        while (true) {
            val size = input.readInt()
            if (size !in 1..Frames.MAX_BYTES) return dropped.onMalformed(label(peer), "a frame of $size bytes")
            val frame = Frames.read(input.readByteArray(size))
            when {
                frame is Frame.Malformed -> dropped.onMalformed(label(peer), frame.reason)
                frame is Frame.UnknownKind -> dropped.onUnknownKind(label(peer), frame.kind)
                frame is Frame.Known && frame.message is PeerMessage.Hello -> peer = greet(frame.message)
                frame is Frame.Known && peer != UNKNOWN -> listener.onMessage(peer, frame.message)
                else -> return dropped.onMalformed(null, "a message of an unknown controller")
            }
        }
    }

    /** The index of the caller; [UNKNOWN] when the settings do not name it. */
    private fun greet(hello: PeerMessage.Hello): Int {
        val peer = labels.indexOf(hello.label)
        if (peer != UNKNOWN) listener.onHello(peer, hello)
        return peer
    }

    private fun label(peer: Int): String? = labels.getOrNull(peer)

    private companion object {
        const val UNKNOWN = -1
    }
}
