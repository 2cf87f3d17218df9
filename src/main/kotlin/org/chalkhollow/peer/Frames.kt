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
    data class UnknownKind(val kind: String) : Frame

    /** No message; [reason] is for people. */
    data class Malformed(val reason: String) : Frame
}

/** CBOR form of the messages between controllers. */
@OptIn(ExperimentalSerializationApi::class)
object Frames {
    /** The largest frame that is read; a longer one is not from a controller. */
    const val MAX_BYTES = 256 * 1024

    private class UnknownKindException(val kind: String) : SerializationException("unknown kind $kind")

    private val cbor =
        Cbor {
            ignoreUnknownKeys = true
            serializersModule =
                SerializersModule {
                    polymorphic(PeerMessage::class) {
                        defaultDeserializer { kind -> throw UnknownKindException(kind.orEmpty()) }
                    }
                }
        }

    fun encode(message: PeerMessage): ByteArray = cbor.encodeToByteArray(PeerMessage.serializer(), message)

    /** Reads one frame; whatever is wrong with it is in the result and never thrown. */
    @Suppress("TooGenericExceptionCaught") // the decoder throws others than SerializationException for some junk
    fun read(bytes: ByteArray): Frame =
        try {
            Frame.Known(cbor.decodeFromByteArray(PeerMessage.serializer(), bytes))
        } catch (e: UnknownKindException) {
            Frame.UnknownKind(e.kind)
        } catch (e: RuntimeException) {
            Frame.Malformed(e.message ?: e::class.java.simpleName)
        }

    /** The message in a frame; null when it is not [Frame.Known]. */
    fun decode(bytes: ByteArray): PeerMessage? = (read(bytes) as? Frame.Known)?.message
}
