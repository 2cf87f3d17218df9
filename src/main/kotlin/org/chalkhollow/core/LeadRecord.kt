package org.chalkhollow.core

import org.chalkhollow.wire.Fields
import org.chalkhollow.wire.Row

/**
 * The leadership record: who leads, in which life of that process, under which generation, after how many writes. It is
 * stored under [KEY]; every write of a leader raises it.
 */
data class LeadRecord(val owner: String, val incarnation: Long, val generation: Long, val writes: Long) {
    fun value(): Map<String, Any?> =
        mapOf("owner" to owner, "life" to incarnation, "generation" to generation, "writes" to writes)

    companion object {
        const val KEY = "ch/lead"

        fun of(row: Row): LeadRecord {
            val f = Fields.of(row.value, "leadership record")
            return LeadRecord(f.text("owner"), f.long("life"), f.long("generation"), f.long("writes"))
        }
    }
}
