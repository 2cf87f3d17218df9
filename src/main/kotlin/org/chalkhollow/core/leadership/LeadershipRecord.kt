package org.chalkhollow.core.leadership

import org.chalkhollow.model.KeyValue
import org.chalkhollow.wire.Fields

/**
 * The leadership record: the label and incarnation of the leader, its fencing token, and its number of writes in this
 * term. It is stored under [KEY]. Every write of the leader increments [writes].
 */
data class LeadershipRecord(val owner: String, val incarnation: Long, val fencingToken: Long, val writes: Long) {
    /** The stored form. Its field names must not change. */
    fun value(): Map<String, Any?> =
        mapOf("owner" to owner, "life" to incarnation, "generation" to fencingToken, "writes" to writes)

    companion object {
        const val KEY = "ch/lead"

        /**
         * Decodes the record in [row].
         *
         * @throws org.chalkhollow.wire.MalformedMessageException if a field is missing or has the wrong type
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
