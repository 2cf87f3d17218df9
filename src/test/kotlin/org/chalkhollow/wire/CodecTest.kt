package org.chalkhollow.wire

import org.chalkhollow.model.ExitCause
import org.chalkhollow.model.Priority
import org.chalkhollow.model.TaskStatus
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test

class CodecTest {
    private val good: Map<String, Any?> =
        mapOf(
            "nameId" to "j-000412",
            "workload" to "train",
            "owner" to "vision",
            "shape" to "batch",
            "urgency" to "high",
            "pieces" to 16,
            "vcpus" to 8.0,
            "cards" to 1.0,
            "memoryGb" to 64.0,
            "bundle" to "img-07",
            "pullGb" to 6.2,
            "flavours" to listOf("g8"),
            "site" to null,
            "together" to true,
            "spread" to false,
            "standby" to true,
            "expectedS" to 240.0,
            "snapshotS" to 30.0,
            "flushS" to 4.0,
            "dueS" to 900.0,
        )

    private fun read(map: Map<String, Any?>) = UserCodec.job(Pack.encode(map))

    private fun stored(map: Map<String, Any?>) = UserCodec.storedJob(Pack.decodeMap(Pack.encode(map)))

    @Test
    fun `a job is read, unknown fields are ignored, and it survives being stored`() {
        val spec = read(good + ("surprise" to listOf(1)))
        assertEquals("j-000412" to Priority.HIGH, spec.id to spec.priority)
        assertEquals(16, spec.tasks)
        assertEquals(spec, read(UserCodec.toMap(spec)))
    }

    @Test
    fun `whole numbers are amounts too, and null or missing is the same where null is allowed`() {
        assertEquals(8.0, read(good + ("vcpus" to 8)).taskResources.cpus)
        assertEquals(null, read(good - "dueS").dueS)
    }

    @Test
    fun `what is missing or invalid is malformed, field by field`() {
        val bad =
            listOf(
                "nameId" to "412",
                "nameId" to "j-",
                "nameId" to "j-4x",
                "nameId" to 7,
                "shape" to "heap",
                "urgency" to "now",
                "pieces" to 0,
                "pieces" to -1,
                "pieces" to 100_001,
                "pieces" to 1.5,
                "vcpus" to Double.NaN,
                "vcpus" to -1.0,
                "vcpus" to "8",
                "memoryGb" to Double.POSITIVE_INFINITY,
                "flavours" to "g8",
                "flavours" to listOf(1),
                "site" to 3,
                "together" to 1,
                "expectedS" to null,
                "owner" to "x".repeat(500),
                "dueS" to -5.0,
            )
        for ((field, value) in bad) {
            assertThrows(
                MalformedMessageException::class.java,
                { read(good + (field to value)) },
                "$field = $value",
            )
        }
    }

    /** Asserts that [job], in which [field] is null or missing, is read only if that field is optional. */
    private fun assertReadWithout(field: String, job: Map<String, Any?>) {
        if (field in OPTIONAL_FIELDS) {
            assertEquals("j-000412", read(job).id)
        } else {
            assertThrows(MalformedMessageException::class.java, { read(job) }, "${job["shape"]} without $field")
        }
    }

    @Test
    fun `every field is required but the three that may be null or omitted, in every shape`() {
        for (shape in listOf("batch", "group", "service")) {
            val job = good + ("shape" to shape)
            for (field in good.keys) {
                assertReadWithout(field, job + (field to null))
                if (field != "shape") assertReadWithout(field, job - field)
            }
        }
        assertThrows(MalformedMessageException::class.java) { read(good - "shape") }
    }

    @Test
    fun `what earlier versions took without image or estimate is still read from the state service`() {
        val stored = good + ("shape" to "service") - "bundle" - "pullGb" - "expectedS" - "site" - "dueS"
        val spec = stored(stored)
        assertEquals(listOf<Any?>(null, 0.0, 0.0), listOf(spec.image, spec.imageGb, spec.expectedS))
        assertEquals(spec, stored(UserCodec.toMap(spec)))
        assertThrows(MalformedMessageException::class.java) { stored(stored + ("shape" to "batch")) }
    }

    @Test
    fun `bytes that are no map of MessagePack are malformed, not errors of another kind`() {
        val junk =
            listOf(
                byteArrayOf(),
                byteArrayOf(0xc1.toByte()),
                byteArrayOf(1),
                ByteArray(60) {
                    0x91.toByte()
                },
                byteArrayOf(0x81.toByte(), 0xa1.toByte()),
            )
        for (bytes in junk) assertThrows(MalformedMessageException::class.java) { Pack.decodeMap(bytes) }
        val random = java.util.SplittableRandom(5)
        repeat(2000) {
            val bytes = ByteArray(random.nextInt(40)).also(random::nextBytes)
            try {
                Pack.decode(bytes)
            } catch (expected: MalformedMessageException) {
                // the only way to fail
            }
        }
    }

    @Test
    fun `a heartbeat names task and attempt, and an unknown cause counts as an error`() {
        val heartbeat =
            mapOf(
                "host" to "n-1",
                "address" to "a:1",
                "flavour" to "t",
                "site" to "z",
                "standby" to false,
                "tenure" to 2,
                "tally" to 9,
                "mandate" to 4,
                "pieces" to listOf(mapOf("piece" to "j-1/7", "try" to 3, "status" to "exited", "cause" to "novel")),
            )
        val task = WorkerCodec.heartbeat(Pack.encode(heartbeat)).tasks.single()
        assertEquals(TaskStatus("j-1", 7, 3, TaskStatus.Phase.EXITED, ExitCause.ERROR), task)
        assertThrows(MalformedMessageException::class.java) { WorkerCodec.heartbeat(Pack.encode(heartbeat - "tenure")) }
    }

    private companion object {
        val OPTIONAL_FIELDS = setOf("flavours", "site", "dueS")
    }
}
