package org.chalkhollow.wire

import org.chalkhollow.model.TaskStatus
import org.chalkhollow.model.WorkerHeartbeat
import org.chalkhollow.wire.Pack.take
import org.chalkhollow.wire.Pack.takeInteger
import org.msgpack.core.MessageUnpacker
import java.util.Arrays

/**
 * Decodes the heartbeats of one connection. Most repeat the one before but for their sequence number, and then only
 * that is decoded. While the bytes of the task list stay the same, the same [WorkerHeartbeat.tasks] instance is handed
 * out again.
 */
class HeartbeatReader {
    /** A heartbeat as it was read, and where in its bytes the sequence number and the tasks are. */
    private class Known(
        val bytes: ByteArray,
        val heartbeat: WorkerHeartbeat,
        val sequence: IntRange,
        val tasks: IntRange,
    )

    private var known: Known? = null

    /** Decodes the heartbeat in [body], which must not change afterwards; throws [MalformedMessageException]. */
    fun read(body: ByteArray): WorkerHeartbeat {
        val before = known
        if (before != null && repeats(before, body)) {
            return before.heartbeat.copy(seq = sequence(body, before.sequence))
        }
        return readAll(body)
    }

    /** Whether [body] differs from the heartbeat before in the value of its sequence number only. */
    private fun repeats(before: Known, body: ByteArray): Boolean {
        val bytes = before.bytes
        val from = before.sequence.first
        val until = before.sequence.last + 1
        if (bytes.size != body.size || !Arrays.equals(bytes, 0, from, body, 0, from)) return false
        if (!Arrays.equals(bytes, until, bytes.size, body, until, body.size)) return false
        // The first byte of a number says how long it is, unless that byte is all of it.
        return if (until - from > 1) bytes[from] == body[from] else body[from] >= 0
    }

    private fun sequence(body: ByteArray, at: IntRange): Long =
        Pack.read(body, at.first, at.last + 1 - at.first) { it.takeInteger() }

    private fun readAll(body: ByteArray): WorkerHeartbeat {
        val fields = HashMap<String, Any?>(FIELDS * 2)
        var sequence = IntRange.EMPTY
        var tasks = IntRange.EMPTY
        Pack.read(body, 0, body.size) { unpacker ->
            repeat(unpacker.takeMapHeader()) {
                val key = unpacker.takeKey()
                val from = unpacker.position
                if (key == TASKS) unpacker.skipValue() else fields[key] = unpacker.take(1)
                when (key) {
                    TASKS -> tasks = from until unpacker.position
                    SEQUENCE -> sequence = from until unpacker.position
                }
            }
        }
        if (tasks.isEmpty()) Fields.invalid(TASKS)
        val heartbeat = WorkerCodec.heartbeat(Fields(fields), tasks(body, tasks))
        known = if (body.size <= MAX_BYTES) Known(body, heartbeat, sequence, tasks) else null
        return heartbeat
    }

    private fun tasks(body: ByteArray, at: IntRange): List<TaskStatus> {
        val until = at.last + 1
        val before = known
        if (before != null) {
            val same = Arrays.equals(before.bytes, before.tasks.first, before.tasks.last + 1, body, at.first, until)
            if (same) return before.heartbeat.tasks
        }
        val list =
            Pack.read(body, at.first, until - at.first) { it.take(1) } as? List<*>
                ?: Fields.invalid(TASKS)
        return list.map { WorkerCodec.task(Fields.of(it, TASKS)) }
    }

    private companion object {
        const val TASKS = "pieces"
        const val SEQUENCE = "tally"
        const val FIELDS = 10

        /** What is kept of a worker is bounded; longer heartbeats are decoded each time. */
        const val MAX_BYTES = 8192

        private fun MessageUnpacker.takeMapHeader(): Int {
            if (!hasNext() || !nextFormat.valueType.isMapType) throw MalformedMessageException("body is not a map")
            return unpackMapHeader()
        }

        private fun MessageUnpacker.takeKey(): String =
            take(1) as? String ?: throw MalformedMessageException("a key is not text")

        val MessageUnpacker.position: Int get() = totalReadBytes.toInt()
    }
}
