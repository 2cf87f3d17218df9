package org.chalkhollow.wire

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotSame
import org.junit.jupiter.api.Assertions.assertSame
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import java.util.SplittableRandom

/** Heartbeats of one worker, most of which repeat the one before. */
class HeartbeatReaderTest {
    private fun heartbeat(number: Long, fencingToken: Long = 7, tasks: Int = 2, notice: Double? = null): ByteArray =
        Pack.encode(
            mapOf(
                "host" to "n-1",
                "address" to "127.0.0.1:9",
                "flavour" to "small",
                "site" to "east",
                "standby" to false,
                "tenure" to 1L,
                "tally" to number,
                "mandate" to fencingToken,
                "warningS" to notice,
                "pieces" to List(tasks) { mapOf("piece" to "j-000001/$it", "try" to 1L, "status" to "running") },
            ),
        )

    @Test
    fun `whatever a heartbeat repeats, it is read as if it were the first`() {
        val random = SplittableRandom(1)
        val reader = HeartbeatReader()
        var number = 1L
        repeat(2000) {
            // Numbers of every length, also across the places where their encoding grows.
            number += if (random.nextInt(20) == 0) 1L shl random.nextInt(40) else random.nextInt(3).toLong()
            val notice = if (random.nextInt(10) == 0) 3.5 else null
            val body = heartbeat(number, random.nextLong(3), random.nextInt(6) / 5, notice)
            assertEquals(HeartbeatReader().read(body), reader.read(body))
        }
    }

    @Test
    fun `the same tasks are the same list, others are not`() {
        val reader = HeartbeatReader()
        val first = reader.read(heartbeat(1000))
        assertSame(first.tasks, reader.read(heartbeat(1001)).tasks)
        assertSame(first.tasks, reader.read(heartbeat(70_000, fencingToken = 8)).tasks)
        assertNotSame(first.tasks, reader.read(heartbeat(70_001, fencingToken = 8, tasks = 3)).tasks)
    }

    @Test
    fun `a heartbeat that is cut short or has no tasks is malformed and changes nothing`() {
        val reader = HeartbeatReader()
        val first = reader.read(heartbeat(1000))
        assertThrows(MalformedMessageException::class.java) { reader.read(heartbeat(1001).copyOf(60)) }
        assertThrows(MalformedMessageException::class.java) { reader.read(Pack.encode(mapOf("host" to "n-1"))) }
        assertSame(first.tasks, reader.read(heartbeat(1002)).tasks)
    }
}
