package org.chalkhollow.wire

import org.chalkhollow.wire.Pack.take
import org.msgpack.core.MessageUnpacker
import java.util.Arrays

/**
 * Decodes workers' reports. Most reports repeat the task list of the one before, so that list is decoded once: while
 * its bytes stay the same, the same [WorkerReport.tasks] instance is handed out again.
 */
class ReportReader {
    private class Known(val bytes: ByteArray, val tasks: List<TaskReport>)

    private val known = HashMap<String, Known>()

    fun read(body: ByteArray): WorkerReport {
        val fields = HashMap<String, Any?>(FIELDS * 2)
        var from = -1
        var until = -1
        Pack.read(body, 0, body.size) { unpacker ->
            if (!unpacker.hasNext() || !unpacker.nextFormat.valueType.isMapType) throw Malformed("body is not a map")
            repeat(unpacker.unpackMapHeader()) {
                val key = unpacker.take(1) as? String ?: throw Malformed("a key is not text")
                if (key == TASKS) {
                    from = unpacker.totalReadBytes.toInt()
                    unpacker.skipValue()
                    until = unpacker.totalReadBytes.toInt()
                } else {
                    fields[key] = unpacker.take(1)
                }
            }
        }
        if (from < 0) throw Malformed("field $TASKS is missing or invalid")
        val f = Fields(fields)
        return WorkerCodec.report(f, tasks(f.text("host"), body, from, until))
    }

    private fun tasks(machine: String, body: ByteArray, from: Int, until: Int): List<TaskReport> {
        val before = known[machine]
        if (before != null && Arrays.equals(before.bytes, 0, before.bytes.size, body, from, until)) return before.tasks
        val list =
            Pack.read(body, from, until - from) { it.take(1) } as? List<*>
                ?: throw Malformed("field $TASKS is missing or invalid")
        val tasks = list.map { WorkerCodec.task(Fields.of(it, TASKS)) }
        if (until - from <= MOST_BYTES) {
            if (known.size >= MOST_KNOWN) known.clear()
            known[machine] = Known(body.copyOfRange(from, until), tasks)
        }
        return tasks
    }

    private companion object {
        const val TASKS = "pieces"
        const val FIELDS = 10

        // What is kept is bounded: 8 MiB at most, and longer lists are decoded each time.
        const val MOST_BYTES = 4096
        const val MOST_KNOWN = 2048
    }
}
