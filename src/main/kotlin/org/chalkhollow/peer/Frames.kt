package org.chalkhollow.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.modules.SerializersModule
import kotlinx.serialization.modules.polymorphic

/** What a frame from another controller turned out to be. */
sealed interface Frame {
    data class Known(val message: PeerMessage) : Frame

    /** A message of a [kind] that this version does not know. */
    data class Newer(val kind: String) : Frame

    data class Malformed(val why: String) : Frame
}

/** CBOR form of the messages between controllers. */
@OptIn(ExperimentalSerializationApi::class)
object Frames {
    const val MAX = 256 * 1024

    private class UnknownKind(val kind: String) : SerializationException("unknown kind $kind")

    private val cbor = Cbor {
        ignoreUnknownKeys = true
        serializersModule = SerializersModule {
            polymorphic(PeerMessage::class) { defaultDeserializer { kind -> throw UnknownKind(kind.orEmpty()) } }
        }
    }

    fun encode(message: PeerMessage): ByteArray = cbor.encodeToByteArray(PeerMessage.serializer(), message)

    /** Reads one frame; whatever is wrong with it is told in the result and never thrown. */
    fun read(bytes: ByteArray): Frame = try {
        Frame.Known(cbor.decodeFromByteArray(PeerMessage.serializer(), bytes))
    } catch (e: UnknownKind) {
        Frame.Newer(e.kind)
    } catch (e: RuntimeException) {
        // Not only SerializationException: the decoder answers some junk with other kinds of exception.
        Frame.Malformed(e.message ?: e::class.java.simpleName)
    }

    /** Null for what is no message of ours. */
    fun decode(bytes: ByteArray): PeerMessage? = (read(bytes) as? Frame.Known)?.message
}
