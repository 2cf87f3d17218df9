package org.chalkhollow.core.attempts

import org.chalkhollow.core.common.EncodedSize
import org.chalkhollow.model.KeyValue
import org.chalkhollow.wire.Fields
import org.chalkhollow.wire.MalformedMessageException

/**
 * The stored form of a dispatch marker: the attempt number that its attempts share, and which tasks may have been
 * started on which machines. Written by [DispatchMarkerBuilder] and read by [DispatchLog]. Markers written by any
 * version must be readable, so the format is fixed.
 */
object DispatchMarkerRecord {
    const val PREFIX = "mark/"
    private const val NUMBER = "n"
    private const val ROWS = "a"

    /** Zero-padding lists the keys of markers in the order of their fencing tokens. */
    private const val FENCING_TOKEN_DIGITS = 12

    /** Tasks of one job on one machine, as [IndexRanges]. */
    class Row(val jobId: String, val machineName: String, val ranges: String) {
        /** Upper bound of the row's size in a stored value. */
        val bytes: Int get() = EncodedSize.of(encode()) + SEPARATOR_BYTES

        fun encode(): List<Any?> = listOf(jobId, machineName, ranges)

        companion object {
            private const val SEPARATOR_BYTES = 2

            fun of(allocation: Allocation) =
                Row(allocation.job.spec.id, allocation.machine.name, IndexRanges.encode(allocation.tasks))

            /** How many of the first tasks of [allocation] fit into a row of at most [maxBytes]. */
            fun countFitting(allocation: Allocation, maxBytes: Int): Int {
                val withoutTasks = Row(allocation.job.spec.id, allocation.machine.name, ranges = "")
                return IndexRanges.countFitting(allocation.tasks, maxBytes - withoutTasks.bytes)
            }
        }
    }

    fun key(fencingToken: Long, markerCount: Long): String =
        PREFIX + fencingToken.toString().padStart(FENCING_TOKEN_DIGITS, '0') + "/" + markerCount

    fun encode(number: Long, rows: List<Row>): Map<String, Any?> =
        mapOf(NUMBER to number, ROWS to rows.map { it.encode() })

    fun number(stored: KeyValue): Long = fields(stored).long(NUMBER)

    /** The rows of [stored] in order, decoded lazily. */
    fun rows(stored: KeyValue): Sequence<Row> =
        fields(stored).list(ROWS).asSequence().map { item ->
            val parts = item as? List<*> ?: throw MalformedMessageException("a row of ${stored.key} is not a list")
            Row(parts[0].toString(), parts[1].toString(), parts[2].toString())
        }

    private fun fields(stored: KeyValue) = Fields.of(stored.value, stored.key)
}

/** Ascending task indices as text: `0-3,7` for 0, 1, 2, 3 and 7. */
object IndexRanges {
    fun encode(sorted: IntArray): String {
        val text = StringBuilder()
        var first = 0
        while (first < sorted.size) {
            val last = endOfRun(sorted, first)
            if (text.isNotEmpty()) text.append(',')
            text.append(encodeRun(sorted, first, last))
            first = last + 1
        }
        return text.toString()
    }

    /**
     * How many of the first indices [encode] turns into at most [maxChars] characters. Consecutive indices take hardly
     * more than one, so they count only together.
     */
    fun countFitting(sorted: IntArray, maxChars: Int): Int {
        var leftChars = maxChars
        var first = 0
        while (first < sorted.size) {
            val last = endOfRun(sorted, first)
            if (first > 0) leftChars--
            leftChars -= encodeRun(sorted, first, last).length
            if (leftChars < 0) return first
            first = last + 1
        }
        return sorted.size
    }

    /** The position of the last of the consecutive indices that begin at position [first]. */
    private fun endOfRun(sorted: IntArray, first: Int): Int {
        var last = first
        while (last + 1 < sorted.size && sorted[last + 1] == sorted[last] + 1) last++
        return last
    }

    private fun encodeRun(sorted: IntArray, first: Int, last: Int): String =
        if (last > first) "${sorted[first]}-${sorted[last]}" else "${sorted[first]}"

    fun decode(ranges: String): List<Int> =
        ranges.split(',').flatMap { part ->
            val first = part.substringBefore('-').toInt()
            val last = part.substringAfter('-').toInt()
            (first..last).toList()
        }
}
