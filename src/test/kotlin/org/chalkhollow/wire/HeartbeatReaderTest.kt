package org.chalkhollow.wire

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotSame
import org.junit.jupiter.api.Assertions.assertSame
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import java.util.SplittableRandom

/** The reader must not return parts of a cached heartbeat that differ in the new one. */
class HeartbeatReaderTest {
    private fun heartbeat(seq: Long, fencingToken: Long = 7, tasks: Int = 2, noticeS: Double? = null): ByteArray =
        Pack.encode(
            mapOf(
                "host" to "n-1",
                "address" to "127.0.0.1:9",
                "flavour" to "small",
                "site" to "east",
                "standby" to false,
                "tenure" to 1L,
                "tally" to seq,
                "mandate" to fencingToken,
                "warningS" to noticeS,
                "pieces" to List(tasks) { mapOf("piece" to "j-000001/$it", "try" to 1L, "status" to "running") },
            ),
        )

    @Test
    fun `a reader with a cached heartbeat decodes the next one like a new reader`() {
        val random = SplittableRandom(1)
        val reader = HeartbeatReader()
        var seq = 1L
        repeat(2000) {
            // Sequence numbers of every encoded length, and steps to a longer encoding.
            seq += if (random.nextInt(20) == 0) 1L shl random.nextInt(40) else random.nextInt(3).toLong()
            val noticeS = if (random.nextInt(10) == 0) 3.5 else null
            val body = heartbeat(seq, random.nextLong(3), random.nextInt(6) / 5, noticeS)
            assertEquals(HeartbeatReader().read(body), reader.read(body))
        }
    }

    @Test
    fun `unchanged tasks are the same list instance, changed tasks are not`() {
        val reader = HeartbeatReader()
        val first = reader.read(heartbeat(1000))
        assertSame(first.tasks, reader.read(heartbeat(1001)).tasks)
        assertSame(first.tasks, reader.read(heartbeat(70_000, fencingToken = 8)).tasks)
        assertNotSame(first.tasks, reader.read(heartbeat(70_001, fencingToken = 8, tasks = 3)).tasks)
    }

    @Test
    fun `a heartbeat that is truncated or has no tasks is malformed and does not affect the next one`() {
        val reader = HeartbeatReader()
        val first = reader.read(heartbeat(1000))
        assertThrows(MalformedMessageException::class.java) { reader.read(heartbeat(1001).copyOf(60)) }
        assertThrows(MalformedMessageException::class.java) { reader.read(Pack.encode(mapOf("host" to "n-1"))) }
        assertSame(first.tasks, reader.read(heartbeat(1002)).tasks)
    }
}
