package org.chalkhollow.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.modules.SerializersModule
import kotlinx.serialization.modules.polymorphic

/** The result of decoding a frame from another controller. */
sealed interface Frame {
    data class Known(val message: PeerMessage) : Frame

    /** A message of a [kind] that this version does not know. */
    data class UnknownKind(val kind: String) : Frame

    /** A frame that cannot be decoded; [reason] is for the log. */
    data class Malformed(val reason: String) : Frame
}

/** Encodes and decodes the messages between controllers as CBOR. */
@OptIn(ExperimentalSerializationApi::class)
object Frames {
    /** The maximum size of a frame that is read. Controllers send no larger frames. */
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

    /** Decodes one frame. Never throws: an error is part of the result. */
    @Suppress("TooGenericExceptionCaught") // the decoder throws other exceptions, too, on some malformed input
    fun read(bytes: ByteArray): Frame =
        try {
            Frame.Known(cbor.decodeFromByteArray(PeerMessage.serializer(), bytes))
        } catch (e: UnknownKindException) {
            Frame.UnknownKind(e.kind)
        } catch (e: RuntimeException) {
            Frame.Malformed(e.message ?: e::class.java.simpleName)
        }

    /** The message in a frame; null if the frame is malformed or of an unknown kind. */
    fun decode(bytes: ByteArray): PeerMessage? = (read(bytes) as? Frame.Known)?.message
}
