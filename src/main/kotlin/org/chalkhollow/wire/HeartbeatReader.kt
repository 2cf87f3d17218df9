package org.chalkhollow.wire

import org.chalkhollow.model.TaskStatus
import org.chalkhollow.model.WorkerHeartbeat
import org.chalkhollow.wire.Pack.unpackAny
import org.chalkhollow.wire.Pack.unpackInteger
import org.msgpack.core.MessageUnpacker
import java.util.Arrays

/**
 * Decodes the heartbeats of one connection. Most heartbeats differ from the previous one only in their sequence number;
 * then only the sequence number is decoded. While the bytes of the task list are unchanged, the returned heartbeats
 * share one [WorkerHeartbeat.tasks] instance.
 */
class HeartbeatReader {
    /** A decoded heartbeat, its bytes, and the ranges of bytes that encode the sequence number and the tasks. */
    private class DecodedHeartbeat(
        val bytes: ByteArray,
        val heartbeat: WorkerHeartbeat,
        val sequence: IntRange,
        val tasks: IntRange,
    )

    /** The last heartbeat that was decoded in full; null if there is none or it exceeds [MAX_CACHED_BYTES]. */
    private var cached: DecodedHeartbeat? = null

    /** Decodes the heartbeat in [body], which must not change afterwards; throws [MalformedMessageException]. */
    fun read(body: ByteArray): WorkerHeartbeat {
        val previous = cached
        if (previous != null && differsOnlyInSequence(previous, body)) {
            return previous.heartbeat.copy(seq = decodeSequence(body, previous.sequence))
        }
        return decodeAll(body)
    }

    /** Whether [body] equals the bytes of [previous] except for the value of the sequence number. */
    private fun differsOnlyInSequence(previous: DecodedHeartbeat, body: ByteArray): Boolean {
        val bytes = previous.bytes
        val from = previous.sequence.first
        val until = previous.sequence.last + 1
        if (bytes.size != body.size || !Arrays.equals(bytes, 0, from, body, 0, from)) return false
        if (!Arrays.equals(bytes, until, bytes.size, body, until, body.size)) return false
        // The first byte of an integer encodes its length, except in one-byte integers, where it is the value.
        return if (until - from > 1) bytes[from] == body[from] else body[from] >= 0
    }

    private fun decodeSequence(body: ByteArray, range: IntRange): Long =
        Pack.read(body, range.first, range.last + 1 - range.first) { it.unpackInteger() }

    private fun decodeAll(body: ByteArray): WorkerHeartbeat {
        val fields = HashMap<String, Any?>(FIELD_COUNT * 2)
        var sequence = IntRange.EMPTY
        var tasks = IntRange.EMPTY
        Pack.read(body, 0, body.size) { unpacker ->
            repeat(unpacker.unpackRootMapHeader()) {
                val key = unpacker.unpackKey()
                val from = unpacker.position
                if (key == TASKS) unpacker.skipValue() else fields[key] = unpacker.unpackAny(1)
                when (key) {
                    TASKS -> tasks = from until unpacker.position
                    SEQUENCE -> sequence = from until unpacker.position
                }
            }
        }
        if (tasks.isEmpty()) Fields.invalid(TASKS)
        val heartbeat = WorkerCodec.heartbeat(Fields(fields), decodeTasks(body, tasks))
        cached = if (body.size <= MAX_CACHED_BYTES) DecodedHeartbeat(body, heartbeat, sequence, tasks) else null
        return heartbeat
    }

    private fun decodeTasks(body: ByteArray, range: IntRange): List<TaskStatus> {
        val until = range.last + 1
        val previous = cached
        if (previous != null) {
            val isSame =
                Arrays.equals(previous.bytes, previous.tasks.first, previous.tasks.last + 1, body, range.first, until)
            if (isSame) return previous.heartbeat.tasks
        }
        val list =
            Pack.read(body, range.first, until - range.first) { it.unpackAny(1) } as? List<*>
                ?: Fields.invalid(TASKS)
        return list.map { WorkerCodec.task(Fields.of(it, TASKS)) }
    }

    private companion object {
        const val TASKS = "pieces"
        const val SEQUENCE = "tally"
        const val FIELD_COUNT = 10

        /** Bounds the memory per connection; longer heartbeats are not cached but decoded in full each time. */
        const val MAX_CACHED_BYTES = 8192

        private fun MessageUnpacker.unpackRootMapHeader(): Int {
            if (!hasNext() || !nextFormat.valueType.isMapType) throw MalformedMessageException("body is not a map")
            return unpackMapHeader()
        }

        private fun MessageUnpacker.unpackKey(): String =
            unpackAny(1) as? String ?: throw MalformedMessageException("map key is not a string")

        val MessageUnpacker.position: Int get() = totalReadBytes.toInt()
    }
}
