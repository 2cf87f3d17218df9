package org.chalkhollow.core.jobs

import org.chalkhollow.core.common.EncodedSize
import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.KeyValue
import org.chalkhollow.wire.Fields
import org.chalkhollow.wire.UserCodec

/**
 * What the state service stores about a job, under `job/` and its id. The format is encoded and decoded only here: it
 * must be able to read records of earlier versions, and later versions read the records that it writes.
 */
internal sealed interface JobRecord {
    /** An accepted job that is neither done nor cancelled. */
    class Open(val spec: JobSpec, private val fields: Fields) : JobRecord {
        /** Wall-clock time at which the job was accepted; throws if the record does not contain it. */
        fun acceptedWallMs(): Long = fields.long(ACCEPTED_AT)
    }

    class Done(val tasks: Int) : JobRecord

    /** A cancelled job. Its attempts that may still be on machines can be tracked only if the record [hasSpec]. */
    class Cancelled(val tasks: Int, private val storedSpec: Any?, private val key: String) : JobRecord {
        val hasSpec: Boolean get() = storedSpec != null

        /** The job's spec; throws if the record has none or one that cannot be decoded. */
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

        /** Fields of a job that are needed only to place its tasks. */
        private val PLACEMENT_ONLY_FIELDS = setOf("bundle", "pullGb", "site", "dueS")

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
            mapOf(STATE to OPEN, ACCEPTED_AT to acceptedWallMs, SPEC to UserCodec.toMap(spec))

        fun encodeDone(spec: JobSpec): Map<String, Any?> = encodeEnd(DONE, spec)

        /**
         * Returns the forms of a cancelled job's record that fit into [maxBytes], the most complete first, or only the
         * smallest form if none fits. A cancelled job's tasks are no longer placed, so the fields for that can be left
         * out.
         */
        fun encodeCancelled(spec: JobSpec, maxBytes: Int): List<Map<String, Any?>> {
            val smallest = encodeEnd(CANCELLED, spec)
            val full = UserCodec.toMap(spec)
            val withoutTypes = full - MACHINE_TYPES
            val forms =
                listOf(
                    smallest + (SPEC to full),
                    smallest + (SPEC to withoutTypes),
                    smallest + (SPEC to withoutTypes - PLACEMENT_ONLY_FIELDS),
                    smallest,
                ).distinct()
            val first = forms.indexOfFirst { EncodedSize.of(it) <= maxBytes }
            return if (first < 0) forms.takeLast(1) else forms.drop(first)
        }

        private fun encodeEnd(state: String, spec: JobSpec): Map<String, Any?> =
            mapOf(STATE to state, TASKS to spec.tasks)
    }
}
