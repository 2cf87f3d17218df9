package org.chalkhollow.compat

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor

/** Encoded messages that no version sends: an unknown kind, and a known kind with an unknown field. */
@OptIn(ExperimentalSerializationApi::class)
object FutureMessages {
    @Serializable
    private sealed interface Message {
        @Serializable
        @SerialName("gossip")
        class Gossip(val words: List<String>) : Message

        @Serializable
        @SerialName("release")
        class Release(val generation: Long, val reason: String) : Message
    }

    fun gossip(): ByteArray = Cbor.encodeToByteArray(Message.serializer(), Message.Gossip(listOf("x")))

    fun releaseWithReason(): ByteArray = Cbor.encodeToByteArray(Message.serializer(), Message.Release(7, "tired"))
}
