package org.chalkhollow.peer

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt

/**
 * Callbacks for dropped frames from other controllers; `peer` is the sender's label, or null if the connection has not
 * sent a valid hello.
 */
interface DroppedFrameListener {
    /** A frame that cannot be decoded or is not allowed, for [reason]. */
    fun onMalformed(peer: String?, reason: String)

    /** A frame of a [kind] that this version does not know. */
    fun onUnknownKind(peer: String?, kind: String)
}

/** Callbacks for messages from other controllers; `peer` is the sender's index in the settings. */
interface PeerMessageListener {
    /** The message that opens a connection. */
    fun onHello(peer: Int, hello: PeerMessage.Hello)

    /** Any other message. */
    fun onMessage(peer: Int, message: PeerMessage)
}

/** Reads frames from connections that the controllers with these [labels] opened to this controller. */
class PeerFrameReader(
    private val labels: List<String>,
    private val droppedFrames: DroppedFrameListener,
    private val listener: PeerMessageListener,
) {
    /**
     * Reads frames until the connection ends. Returns early if a frame's size is invalid, because the next frame cannot
     * be found then, and if a message comes from a controller that is unknown or has sent no hello. Drops frames that
     * are malformed or of an unknown kind, and reads on. Throws the channel's exceptions, `EOFException` at its end.
     */
    suspend fun readFrames(input: ByteReadChannel) {
        var peer = UNKNOWN_PEER
        while (true) {
            val size = input.readInt()
            if (size !in 1..Frames.MAX_BYTES) {
                return droppedFrames.onMalformed(
                    label(peer),
                    "frame size of $size bytes is not from 1 to ${Frames.MAX_BYTES}",
                )
            }
            val frame = Frames.read(input.readByteArray(size))
            when {
                frame is Frame.Malformed -> droppedFrames.onMalformed(label(peer), frame.reason)
                frame is Frame.UnknownKind -> droppedFrames.onUnknownKind(label(peer), frame.kind)
                frame is Frame.Known && frame.message is PeerMessage.Hello -> peer = identify(frame.message)
                frame is Frame.Known && peer != UNKNOWN_PEER -> listener.onMessage(peer, frame.message)
                else -> return droppedFrames.onMalformed(null, "message from a controller without a valid hello")
            }
        }
    }

    /** The index of the sender of [hello]; [UNKNOWN_PEER] if its label is not in the settings. */
    private fun identify(hello: PeerMessage.Hello): Int {
        val peer = labels.indexOf(hello.label)
        if (peer != UNKNOWN_PEER) listener.onHello(peer, hello)
        return peer
    }

    private fun label(peer: Int): String? = labels.getOrNull(peer)

    private companion object {
        const val UNKNOWN_PEER = -1
    }
}
