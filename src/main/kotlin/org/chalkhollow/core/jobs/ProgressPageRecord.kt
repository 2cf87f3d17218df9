package org.chalkhollow.core.jobs

import org.chalkhollow.model.KeyValue
import org.chalkhollow.wire.Fields
import java.util.Base64
import java.util.BitSet

/**
 * What the state service stores about a job's progress, under `prog/`, the job's id and the page's first task: which
 * tasks are [done], counted from [firstTask]. The format is encoded and decoded only here.
 */
internal class ProgressPageRecord(val firstTask: Int, val done: BitSet) {
    fun encode(): Map<String, Any?> = mapOf(DONE to Base64.getEncoder().encodeToString(done.toByteArray()))

    companion object {
        const val KEY_PREFIX = "prog/"
        private const val DONE = "b"
        private const val SEPARATOR = '/'

        /** With one bit per task, the Base64 text of a full page takes a third of the value limit. */
        private const val TASKS_PER_VALUE_BYTE = 2

        fun tasksPerPage(valueBytes: Int): Int = valueBytes * TASKS_PER_VALUE_BYTE

        fun key(jobId: String, firstTask: Int): String = KEY_PREFIX + jobId + SEPARATOR + firstTask

        fun jobId(row: KeyValue): String = parts(row)[0]

        fun decode(row: KeyValue): ProgressPageRecord {
            val firstTask = parts(row)[1].toInt()
            val text = Fields.of(row.value, row.key).text(DONE)
            return ProgressPageRecord(firstTask, BitSet.valueOf(Base64.getDecoder().decode(text)))
        }

        private fun parts(row: KeyValue): List<String> = row.key.substring(KEY_PREFIX.length).split(SEPARATOR)
    }
}
