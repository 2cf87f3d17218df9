package org.chalkhollow.wire

import org.chalkhollow.model.ExitCause
import org.chalkhollow.model.Priority
import org.chalkhollow.model.TaskStatus
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test

class CodecTest {
    private val validJob: Map<String, Any?> =
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

    private fun decode(map: Map<String, Any?>) = UserCodec.job(Pack.encode(map))

    private fun decodeStored(map: Map<String, Any?>) = UserCodec.storedJob(Pack.decodeMap(Pack.encode(map)))

    @Test
    fun `a job is decoded without its unknown fields, and does not change when it is stored and decoded again`() {
        val spec = decode(validJob + ("surprise" to listOf(1)))
        assertEquals("j-000412" to Priority.HIGH, spec.id to spec.priority)
        assertEquals(16, spec.tasks)
        assertEquals(spec, decode(UserCodec.toMap(spec)))
    }

    @Test
    fun `integers are accepted for amounts, and a missing optional field is decoded as null`() {
        assertEquals(8.0, decode(validJob + ("vcpus" to 8)).taskResources.cpus)
        assertEquals(null, decode(validJob - "dueS").dueS)
    }

    @Test
    fun `a job with one invalid field is malformed, whichever field it is`() {
        val invalidFields =
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
        for ((field, value) in invalidFields) {
            assertThrows(
                MalformedMessageException::class.java,
                { decode(validJob + (field to value)) },
                "$field = $value",
            )
        }
    }

    /** Asserts that [job], in which [field] is null or missing, is decoded only if that field is optional. */
    private fun assertDecodedOnlyIfOptional(field: String, job: Map<String, Any?>) {
        if (field in OPTIONAL_FIELDS) {
            assertEquals("j-000412", decode(job).id)
        } else {
            assertThrows(MalformedMessageException::class.java, { decode(job) }, "${job["shape"]} without $field")
        }
    }

    @Test
    fun `only flavours, site and dueS may be null or omitted, in jobs of every shape`() {
        for (shape in listOf("batch", "group", "service")) {
            val job = validJob + ("shape" to shape)
            for (field in validJob.keys) {
                assertDecodedOnlyIfOptional(field, job + (field to null))
                if (field != "shape") assertDecodedOnlyIfOptional(field, job - field)
            }
        }
        assertThrows(MalformedMessageException::class.java) { decode(validJob - "shape") }
    }

    @Test
    fun `a stored service of an earlier version is decoded without image and estimate, a batch job is not`() {
        val stored = validJob + ("shape" to "service") - "bundle" - "pullGb" - "expectedS" - "site" - "dueS"
        val spec = decodeStored(stored)
        assertEquals(listOf<Any?>(null, 0.0, 0.0), listOf(spec.image, spec.imageGb, spec.expectedS))
        assertEquals(spec, decodeStored(UserCodec.toMap(spec)))
        assertThrows(MalformedMessageException::class.java) { decodeStored(stored + ("shape" to "batch")) }
    }

    @Test
    fun `decoding invalid bytes throws no other exception than MalformedMessageException`() {
        val invalidBodies =
            listOf(
                byteArrayOf(),
                byteArrayOf(0xc1.toByte()),
                byteArrayOf(1),
                ByteArray(60) {
                    0x91.toByte()
                },
                byteArrayOf(0x81.toByte(), 0xa1.toByte()),
            )
        for (bytes in invalidBodies) assertThrows(MalformedMessageException::class.java) { Pack.decodeMap(bytes) }
        val random = java.util.SplittableRandom(5)
        repeat(2000) {
            val bytes = ByteArray(random.nextInt(40)).also(random::nextBytes)
            try {
                Pack.decode(bytes)
            } catch (expected: MalformedMessageException) {
                // the only exception that is allowed
            }
        }
    }

    @Test
    fun `a heartbeat contains task and attempt, an unknown exit cause is an error, and the epoch is required`() {
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
