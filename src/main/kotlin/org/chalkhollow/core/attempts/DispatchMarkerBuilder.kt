package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.DispatchMarker
import org.chalkhollow.core.cluster.HoldReason
import org.chalkhollow.model.Change

/**
 * Packs allocations into dispatch markers, in order, within the size limits of a value and of the transaction. An
 * allocation whose row would exceed a marker gets several rows: its tasks can be scattered over so many index ranges
 * that no marker could ever list them all. What does not fit into the transaction is left out, and its tasks stay
 * pending for the next round. Used by [DispatchLog] for one round or one gang and then discarded.
 */
internal class DispatchMarkerBuilder(
    private val maxMarkerBytes: Int,
    private val maxMarkers: Int,
    private val maxBytes: Int,
    /** Creates the next marker; returns null when this leader's attempt numbers are used up. */
    private val nextMarker: () -> DispatchMarker?,
) {
    /** A marker and the allocations that it lists. */
    class PackedMarker(val marker: DispatchMarker) {
        val allocations = ArrayList<Allocation>()
        private val rows = ArrayList<DispatchMarkerRecord.Row>()

        /** Size as a stored value. */
        var bytes = MARKER_OVERHEAD_BYTES
            private set

        fun add(allocation: Allocation, row: DispatchMarkerRecord.Row) {
            allocations.add(allocation)
            rows.add(row)
            bytes += row.bytes
        }

        fun change() = Change(marker.key, DispatchMarkerRecord.encode(marker.number, rows))
    }

    /** An allocation, or the rest of one, that is in no marker, for [reason]. */
    class LeftOut(val allocation: Allocation, val reason: HoldReason)

    private val packed = ArrayList<PackedMarker>()

    /** What [pack] left out. */
    val leftOut = ArrayList<LeftOut>()

    /** The marker that further allocations are added to; null if the next allocation starts a new marker. */
    private var current: PackedMarker? = null
    private var totalRowBytes = 0
    private val newMarkerSpace get() = maxMarkerBytes - MARKER_OVERHEAD_BYTES
    private val markerSpace get() = maxMarkerBytes - (current?.bytes ?: MARKER_OVERHEAD_BYTES)
    private val transactionSpace get() = maxBytes - totalRowBytes - MARKER_OVERHEAD_BYTES

    /** Why nothing more is added, so that no allocation is started before an earlier one; null if more can be added. */
    private var fullReason: HoldReason? = null

    fun pack(allocations: List<Allocation>): List<PackedMarker> {
        for (allocation in allocations) {
            var rest: Allocation? = allocation
            while (rest != null) rest = addPart(rest)
        }
        return packed
    }

    /** Adds the first tasks of [allocation], all if possible, or leaves it out. Returns the rest, or null for none. */
    private fun addPart(allocation: Allocation): Allocation? {
        fullReason?.let { return leaveOut(allocation, it) }
        val row = DispatchMarkerRecord.Row.of(allocation)
        if (row.bytes > markerSpace && row.bytes <= newMarkerSpace) current = null
        val space = minOf(markerSpace, transactionSpace)
        if (row.bytes <= space) return if (addRow(allocation, row)) null else allocation
        val count = DispatchMarkerRecord.Row.countFitting(allocation, space)
        if (count == 0) return addNone(allocation)
        val part = allocation.take(count)
        return if (addRow(part, DispatchMarkerRecord.Row.of(part))) allocation.drop(count) else allocation
    }

    /** Not even one task of [allocation] fits. Returns what to add next. */
    private fun addNone(allocation: Allocation): Allocation? {
        if (current != null && markerSpace < transactionSpace) {
            current = null
            return allocation
        }
        if (newMarkerSpace <= transactionSpace) return leaveOut(allocation, HoldReason.MARKER_ROW_TOO_LARGE)
        fullReason = HoldReason.TRANSACTION_FULL
        return allocation
    }

    /** Returns null: nothing is left to add. */
    private fun leaveOut(allocation: Allocation, reason: HoldReason): Allocation? {
        leftOut.add(LeftOut(allocation, reason))
        return null
    }

    /** Adds [row] of [allocation], which fits. Returns false if it needs another marker and there is none. */
    private fun addRow(allocation: Allocation, row: DispatchMarkerRecord.Row): Boolean {
        val target = current ?: newMarker() ?: return false
        target.add(allocation, row)
        totalRowBytes += row.bytes
        return true
    }

    private fun newMarker(): PackedMarker? {
        val marker = if (packed.size < maxMarkers) nextMarker() else null
        if (marker == null) {
            val exhausted = packed.size < maxMarkers
            fullReason = if (exhausted) HoldReason.ATTEMPT_NUMBERS_EXHAUSTED else HoldReason.TRANSACTION_FULL
            return null
        }
        return PackedMarker(marker).also {
            packed.add(it)
            current = it
        }
    }

    private companion object {
        /** Size of a marker without its rows. */
        const val MARKER_OVERHEAD_BYTES = 160
    }
}
