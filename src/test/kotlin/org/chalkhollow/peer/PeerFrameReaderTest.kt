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
    /** Messages that a newer version could send. */
    @Serializable
    private sealed interface NewerMessage {
        @Serializable
        @SerialName("gossip")
        class Gossip(val words: List<String>, val more: Map<String, Long>) : NewerMessage

        @Serializable
        @SerialName("release")
        class Release(val generation: Long, val reason: String) : NewerMessage
    }

    private class RecordingDropListener : DroppedFrameListener {
        val malformed = ArrayList<String?>()
        val unknownKinds = ArrayList<String>()

        override fun onMalformed(peer: String?, reason: String) {
            malformed.add(peer)
        }

        override fun onUnknownKind(peer: String?, kind: String) {
            unknownKinds.add("$peer $kind")
        }
    }

    private val dropped = RecordingDropListener()
    private val hellos = ArrayList<Pair<Int, PeerMessage.Hello>>()
    private val received = ArrayList<Pair<Int, PeerMessage>>()
    private val listener =
        object : PeerMessageListener {
            override fun onHello(peer: Int, hello: PeerMessage.Hello) {
                hellos.add(peer to hello)
            }

            override fun onMessage(peer: Int, message: PeerMessage) {
                received.add(peer to message)
            }
        }

    @OptIn(ExperimentalSerializationApi::class)
    private fun encode(message: NewerMessage) = Cbor.encodeToByteArray(NewerMessage.serializer(), message)

    private fun receive(vararg frames: ByteArray, sizeOf: (ByteArray) -> Int = { it.size }) {
        val bytes = frames.fold(byteArrayOf()) { all, f -> all + ByteBuffer.allocate(4).putInt(sizeOf(f)).array() + f }
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
    fun `a frame of an unknown kind is dropped and reported, and the next frame is read`() {
        receive(hello, encode(NewerMessage.Gossip(listOf("x", "y"), mapOf("z" to 1L))), release)
        assertEquals(expected, received.toList<Any>())
        assertEquals(listOf("b gossip"), dropped.unknownKinds)
        assertEquals(emptyList<String?>(), dropped.malformed)
    }

    @Test
    fun `additional fields of a newer version are ignored`() {
        receive(hello, encode(NewerMessage.Release(7, "tired")))
        assertEquals(expected, received.toList<Any>())
        assertEquals(0, dropped.unknownKinds.size + dropped.malformed.size)
    }

    @Test
    fun `a hello contains the version, or 0 if none was sent, and a hello of an unknown controller is ignored`() {
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
    fun `a malformed frame is dropped and reported, and the next frame is read`() {
        receive(hello, byteArrayOf(0x42), release.copyOf(release.size - 3), byteArrayOf(0x9f.toByte(), 0x67), release)
        assertEquals(expected, received.toList<Any>())
        assertEquals(listOf<String?>("b", "b", "b"), dropped.malformed)
    }

    @Test
    fun `an invalid frame size or a message without a valid hello is reported and ends the connection`() {
        receive(hello, release, release) { if (it === hello) it.size else Frames.MAX_BYTES + 1 }
        receive(hello, release) { if (it === hello) it.size else -5 }
        receive(release)
        receive(Frames.encode(PeerMessage.Hello("stranger", 1)), release)
        assertEquals(emptyList<Any>(), received.toList<Any>())
        assertEquals(listOf("b", "b", null, null), dropped.malformed)
    }

    @Test
    fun `decoding a frame never throws, whatever its bytes`() {
        val random = SplittableRandom(11)
        val samples =
            listOf(
                hello,
                release,
                encode(NewerMessage.Gossip(listOf("x"), emptyMap())),
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
        assertTrue(malformed > 5000, "only $malformed frames were malformed")
    }
}
