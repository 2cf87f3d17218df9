package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.DispatchMarker
import org.chalkhollow.core.cluster.HoldReason
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.model.Change

/**
 * Packs one placement round's allocations into dispatch markers, in order, within the size limits of a value and of the
 * transaction. An allocation whose row would exceed a marker gets several rows: its tasks can be scattered over so many
 * index ranges that no marker could ever list them all. What does not fit into the transaction is left out, and its
 * tasks stay pending for the next round. All rows of a gang are in one marker, or none is. Used by [DispatchLog] for
 * one round and then discarded.
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

        fun add(allocation: Allocation, row: DispatchMarkerRecord.Row, rowBytes: Int) {
            allocations.add(allocation)
            rows.add(row)
            bytes += rowBytes
        }

        fun change() = Change(marker.key, DispatchMarkerRecord.encode(marker.number, rows))
    }

    /** An allocation that is in no marker, for [reason]. */
    class LeftOut(val allocation: Allocation, val reason: HoldReason)

    private val packed = ArrayList<PackedMarker>()

    /** What [pack] left out. */
    val leftOut = ArrayList<LeftOut>()
    private var attemptNumbersExhausted = false

    /** The marker that further allocations are added to; null if the next allocation starts a new marker. */
    private var current: PackedMarker? = null
    private var totalRowBytes = 0

    /** The gang whose rows were last found to fit. */
    private var currentGang: OpenJob? = null
    private var gangBytes: Map<OpenJob, Int> = emptyMap()

    fun pack(allocations: List<Allocation>): List<PackedMarker> {
        gangBytes = bytesOfGangs(allocations)
        for ((position, allocation) in allocations.withIndex()) {
            if (allocation.job.gang && isTooLargeGang(allocation.job)) {
                leftOut.add(LeftOut(allocation, HoldReason.MARKER_GANG_TOO_LARGE))
                continue
            }
            val rest = add(allocation) ?: continue
            leaveOut(listOf(rest) + allocations.drop(position + 1))
            break
        }
        return packed
    }

    private fun leaveOut(allocations: List<Allocation>) {
        val exhausted = attemptNumbersExhausted
        val reason = if (exhausted) HoldReason.ATTEMPT_NUMBERS_EXHAUSTED else HoldReason.TRANSACTION_FULL
        allocations.mapTo(leftOut) { LeftOut(it, reason) }
    }

    private fun bytesOfGangs(allocations: List<Allocation>): Map<OpenJob, Int> {
        val bytes = HashMap<OpenJob, Int>()
        for (allocation in allocations) {
            if (!allocation.job.gang) continue
            bytes.merge(allocation.job, DispatchMarkerRecord.Row.of(allocation).bytes, Int::plus)
        }
        return bytes
    }

    /**
     * Whether the rows of [gang] exceed a marker or half of the bytes left in the transaction. Such a gang is left for
     * another round, without holding up the allocations after it.
     */
    private fun isTooLargeGang(gang: OpenJob): Boolean = markerBytes(gang) > minOf(maxMarkerBytes, maxBytes / 2)

    private fun markerBytes(gang: OpenJob): Int = gangBytes.getValue(gang) + MARKER_OVERHEAD_BYTES

    /**
     * Adds [allocation]. Returns null, or the part for which the transaction has no space or there is no attempt
     * number. Later allocations are then left out too, so that none is started before it.
     */
    private fun add(allocation: Allocation): Allocation? {
        val job = allocation.job
        if (job.gang && currentGang !== job && !beginGang(job)) return allocation
        var rest = allocation
        while (true) {
            val row = DispatchMarkerRecord.Row.of(rest)
            if (row.bytes > markerSpace() && row.bytes <= newMarkerSpace) current = null
            val space = minOf(markerSpace(), transactionSpace())
            if (row.bytes <= space) return if (addRow(rest, row)) null else rest
            val count = DispatchMarkerRecord.Row.countFitting(rest, space)
            if (count > 0) {
                val part = rest.take(count)
                if (!addRow(part, DispatchMarkerRecord.Row.of(part))) return rest
                rest = rest.drop(count)
            } else if (current != null && markerSpace() < transactionSpace()) {
                current = null
            } else if (newMarkerSpace <= transactionSpace()) {
                leftOut.add(LeftOut(rest, HoldReason.MARKER_ROW_TOO_LARGE))
                return null
            } else {
                return rest
            }
        }
    }

    private val newMarkerSpace: Int get() = maxMarkerBytes - MARKER_OVERHEAD_BYTES

    private fun markerSpace(): Int = maxMarkerBytes - (current?.bytes ?: MARKER_OVERHEAD_BYTES)

    private fun transactionSpace(): Int = maxBytes - totalRowBytes - MARKER_OVERHEAD_BYTES

    /** Adds [row] of [allocation], which fits. Returns false if it needs another marker and there is none. */
    private fun addRow(allocation: Allocation, row: DispatchMarkerRecord.Row): Boolean {
        val target = current ?: newMarker() ?: return false
        target.add(allocation, row, row.bytes)
        totalRowBytes += row.bytes
        return true
    }

    /** Starts a new marker for [gang], so that its rows are not split over two. Returns false if they do not fit. */
    private fun beginGang(gang: OpenJob): Boolean {
        currentGang = gang
        current = null
        return packed.size < maxMarkers && totalRowBytes + markerBytes(gang) <= maxBytes
    }

    private fun newMarker(): PackedMarker? {
        if (packed.size >= maxMarkers) return null
        val marker = nextMarker()
        if (marker == null) {
            attemptNumbersExhausted = true
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
