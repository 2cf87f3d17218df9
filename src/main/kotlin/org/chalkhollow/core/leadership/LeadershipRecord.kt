package org.chalkhollow.core.leadership

import org.chalkhollow.model.KeyValue
import org.chalkhollow.wire.Fields

/**
 * The leadership record: who leads, in which incarnation of that process, under which fencing token, after how many
 * writes. It is stored under [KEY]; every write of a leader raises it.
 */
data class LeadershipRecord(val owner: String, val incarnation: Long, val fencingToken: Long, val writes: Long) {
    /** The stored form; its names are fixed. */
    fun value(): Map<String, Any?> =
        mapOf("owner" to owner, "life" to incarnation, "generation" to fencingToken, "writes" to writes)

    companion object {
        const val KEY = "ch/lead"

        /**
         * The record in [row].
         *
         * @throws org.chalkhollow.wire.MalformedMessageException if it cannot be read
         */
        fun of(row: KeyValue): LeadershipRecord {
            val fields = Fields.of(row.value, "leadership record")
            return LeadershipRecord(
                fields.text("owner"),
                fields.long("life"),
                fields.long("generation"),
                fields.long("writes"),
            )
        }
    }
}
