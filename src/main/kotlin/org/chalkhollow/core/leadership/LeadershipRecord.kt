package org.chalkhollow.core.leadership

import org.chalkhollow.model.KeyValue
import org.chalkhollow.wire.Fields

/**
 * The leadership record: who leads, in which life of that process, under which generation, after how many writes. It is
 * stored under [KEY]; every write of a leader raises it.
 */
data class LeadershipRecord(val owner: String, val incarnation: Long, val fencingToken: Long, val writes: Long) {
    fun value(): Map<String, Any?> =
        mapOf("owner" to owner, "life" to incarnation, "generation" to fencingToken, "writes" to writes)

    companion object {
        const val KEY = "ch/lead"

        fun of(row: KeyValue): LeadershipRecord {
            val f = Fields.of(row.value, "leadership record")
            return LeadershipRecord(f.text("owner"), f.long("life"), f.long("generation"), f.long("writes"))
        }
    }
}
