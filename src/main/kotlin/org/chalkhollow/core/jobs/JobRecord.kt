package org.chalkhollow.core.jobs

import org.chalkhollow.core.common.EncodedSize
import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.KeyValue
import org.chalkhollow.wire.Fields
import org.chalkhollow.wire.UserCodec

/**
 * What the state service stores of a job, under `job/` and its id. Both directions of the form stand here and nowhere
 * else: records of earlier versions have to be read, and later versions read ours.
 */
internal sealed interface JobRecord {
    /** A job that is accepted, and neither done nor cancelled. */
    class Open(val spec: JobSpec, private val fields: Fields) : JobRecord {
        /** When the job was accepted, by the time of day; fails when the record does not say. */
        fun acceptedWallMs(): Long = fields.long(ACCEPTED_AT)
    }

    class Done(val tasks: Int) : JobRecord

    /** A cancelled job. Where its tasks may run is known only if the record says what they are. */
    class Cancelled(val tasks: Int, private val storedSpec: Any?, private val key: String) : JobRecord {
        val hasSpec: Boolean get() = storedSpec != null

        /** What the job was; fails when the record does not say, or says it in a way that cannot be read. */
        fun readSpec(): JobSpec = UserCodec.storedJob(Fields.of(storedSpec, key))
    }

    companion object {
        const val KEY_PREFIX = "job/"
        private const val STATE = "s"
        private const val ACCEPTED_AT = "at"
        private const val SPEC = "j"
        private const val TASKS = "n"
        private const val OPEN = "open"
        private const val DONE = "done"
        private const val CANCELLED = "cancelled"
        private const val MACHINE_TYPES = "flavours"

        /** Fields of a job that matter only where its tasks are placed. */
        private val PLACEMENT_ONLY = setOf("bundle", "pullGb", "site", "dueS")

        fun key(jobId: String): String = KEY_PREFIX + jobId

        fun jobId(row: KeyValue): String = row.key.substring(KEY_PREFIX.length)

        fun decode(row: KeyValue): JobRecord {
            val fields = Fields.of(row.value, row.key)
            return when (fields.text(STATE)) {
                OPEN -> Open(UserCodec.storedJob(Fields.of(fields.map[SPEC], row.key)), fields)
                DONE -> Done(fields.long(TASKS).toInt())
                else -> Cancelled(fields.long(TASKS).toInt(), fields.map[SPEC], row.key)
            }
        }

        fun encodeOpen(spec: JobSpec, acceptedWallMs: Long): Map<String, Any?> =
            mapOf(STATE to OPEN, ACCEPTED_AT to acceptedWallMs, SPEC to UserCodec.map(spec))

        fun encodeDone(spec: JobSpec): Map<String, Any?> = encodeEnd(DONE, spec)

        /**
         * The forms of a cancelled job's record that fit into [maxBytes], the fullest first, or the smallest when none
         * does. A cancelled job's tasks are only waited for, so where they may run can be left out.
         */
        fun encodeCancelled(spec: JobSpec, maxBytes: Int): List<Map<String, Any?>> {
            val smallest = encodeEnd(CANCELLED, spec)
            val full = UserCodec.map(spec)
            val withoutTypes = full - MACHINE_TYPES
            val forms =
                listOf(
                    smallest + (SPEC to full),
                    smallest + (SPEC to withoutTypes),
                    smallest + (SPEC to withoutTypes - PLACEMENT_ONLY),
                    smallest,
                ).distinct()
            val first = forms.indexOfFirst { EncodedSize.of(it) <= maxBytes }
            return if (first < 0) forms.takeLast(1) else forms.drop(first)
        }

        private fun encodeEnd(state: String, spec: JobSpec): Map<String, Any?> =
            mapOf(STATE to state, TASKS to spec.tasks)
    }
}
