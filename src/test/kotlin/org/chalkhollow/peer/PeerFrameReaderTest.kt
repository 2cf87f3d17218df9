package org.chalkhollow.peer

import io.ktor.utils.io.ByteReadChannel
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.EOFException
import java.nio.ByteBuffer
import java.util.SplittableRandom

class PeerFrameReaderTest {
    /** What a version after this one might say. */
    @Serializable
    private sealed interface Later {
        @Serializable
        @SerialName("gossip")
        class Gossip(val words: List<String>, val more: Map<String, Long>) : Later

        @Serializable
        @SerialName("release")
        class Release(val generation: Long, val reason: String) : Later
    }

    private class Dropped : DroppedFrameListener {
        val malformed = ArrayList<String?>()
        val unknownKinds = ArrayList<String>()

        override fun onMalformed(peer: String?, reason: String) {
            malformed.add(peer)
        }

        override fun onUnknownKind(peer: String?, kind: String) {
            unknownKinds.add("$peer $kind")
        }
    }

    private val dropped = Dropped()
    private val hellos = ArrayList<Pair<Int, PeerMessage.Hello>>()
    private val heard = ArrayList<Pair<Int, PeerMessage>>()
    private val listener =
        object : PeerMessageListener {
            override fun onHello(peer: Int, hello: PeerMessage.Hello) {
                hellos.add(peer to hello)
            }

            override fun onMessage(peer: Int, message: PeerMessage) {
                heard.add(peer to message)
            }
        }

    @OptIn(ExperimentalSerializationApi::class)
    private fun later(message: Later) = Cbor.encodeToByteArray(Later.serializer(), message)

    private fun receive(vararg frames: ByteArray, sizes: (ByteArray) -> Int = { it.size }) {
        val bytes = frames.fold(byteArrayOf()) { all, f -> all + ByteBuffer.allocate(4).putInt(sizes(f)).array() + f }
        runBlocking {
            try {
                PeerFrameReader(listOf("a", "b"), dropped, listener).readFrames(ByteReadChannel(bytes))
            } catch (expected: EOFException) {
                // The connection ended.
            }
        }
    }

    private val hello = Frames.encode(PeerMessage.Hello("b", 1))
    private val release = Frames.encode(PeerMessage.LeadershipRelease(7))
    private val expected = listOf(1 to PeerMessage.LeadershipRelease(7))

    @Test
    fun `a frame of a newer kind is skipped and passed on as such, and ends nothing`() {
        receive(hello, later(Later.Gossip(listOf("x", "y"), mapOf("z" to 1L))), release)
        assertEquals(expected, heard.toList<Any>())
        assertEquals(listOf("b gossip"), dropped.unknownKinds)
        assertEquals(emptyList<String?>(), dropped.malformed)
    }

    @Test
    fun `a newer version's additional fields are ignored`() {
        receive(hello, later(Later.Release(7, "tired")))
        assertEquals(expected, heard.toList<Any>())
        assertEquals(0, dropped.unknownKinds.size + dropped.malformed.size)
    }

    @Test
    fun `a hello has the version, which is 0 for versions that did not send one`() {
        val frames =
            listOf(
                PeerMessage.Hello("b", 1),
                PeerMessage.Hello("a", 2, PeerMessage.VERSION),
                PeerMessage.Hello("stranger", 3, 9),
            ).map(Frames::encode)
        receive(*frames.toTypedArray())
        assertEquals(listOf(1 to 0, 0 to PeerMessage.VERSION), hellos.map { (peer, hello) -> peer to hello.version })
    }

    @Test
    fun `a malformed frame is dropped and counted, and the next one is heard`() {
        receive(hello, byteArrayOf(0x42), release.copyOf(release.size - 3), byteArrayOf(0x9f.toByte(), 0x67), release)
        assertEquals(expected, heard.toList<Any>())
        assertEquals(listOf<String?>("b", "b", "b"), dropped.malformed)
    }

    @Test
    fun `what cannot be read any further ends the connection and is counted`() {
        receive(hello, release, release) { if (it === hello) it.size else Frames.MAX_BYTES + 1 }
        receive(hello, release) { if (it === hello) it.size else -5 }
        receive(release)
        receive(Frames.encode(PeerMessage.Hello("stranger", 1)), release)
        assertEquals(emptyList<Any>(), heard.toList<Any>())
        assertEquals(listOf("b", "b", null, null), dropped.malformed)
    }

    @Test
    fun `no bytes make the reading of a frame fail`() {
        val random = SplittableRandom(11)
        val samples =
            listOf(
                hello,
                release,
                later(Later.Gossip(listOf("x"), emptyMap())),
                Frames.encode(PeerMessage.ForwardedRequest(1, 1, "j-1", ByteArray(20))),
                Frames.encode(PeerMessage.FollowerLeaseResponse(1, 2, true, false, 3)),
            )
        var malformed = 0
        repeat(20_000) { i ->
            val bytes =
                if (i % 4 ==
                    0
                ) {
                    ByteArray(random.nextInt(1, 60)).also(random::nextBytes)
                } else {
                    samples[random.nextInt(samples.size)].clone()
                }
            repeat(random.nextInt(1, 4)) { bytes[random.nextInt(bytes.size)] = random.nextInt(256).toByte() }
            if (Frames.read(bytes) is Frame.Malformed) malformed++
        }
        assertTrue(malformed > 5000, "only $malformed were malformed")
    }
}
