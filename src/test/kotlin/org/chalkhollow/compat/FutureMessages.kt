package org.chalkhollow.compat

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor

/** Messages in forms that no version has had so far. */
@OptIn(ExperimentalSerializationApi::class)
object FutureMessages {
    @Serializable
    private sealed interface Later {
        @Serializable
        @SerialName("gossip")
        class Gossip(val words: List<String>) : Later

        @Serializable
        @SerialName("release")
        class Release(val generation: Long, val reason: String) : Later
    }

    fun gossip(): ByteArray = Cbor.encodeToByteArray(Later.serializer(), Later.Gossip(listOf("x")))

    fun releaseWithReason(): ByteArray = Cbor.encodeToByteArray(Later.serializer(), Later.Release(7, "tired"))
}
