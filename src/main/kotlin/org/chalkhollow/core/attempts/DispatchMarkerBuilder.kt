package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.DispatchMarker
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.model.Change

/**
 * Packs one placement round's allocations into dispatch markers, in order, within the limits of a value and of the
 * transaction. What does not fit is left out and stays ready for the next round. A gang is in one marker whole or not
 * at all. Used by [DispatchLog] for one round and then dropped.
 */
internal class DispatchMarkerBuilder(
    private val maxMarkerBytes: Int,
    private val maxMarkers: Int,
    private val maxBytes: Int,
    /** Makes the next marker, or gives null when this leader's attempt numbers are used up. */
    private val nextMarker: () -> DispatchMarker?,
) {
    /** A marker with the allocations that it lists. */
    class PackedMarker(val marker: DispatchMarker) {
        val allocations = ArrayList<Allocation>()
        private val rows = ArrayList<DispatchMarkerRecord.Row>()

        /** What it takes as a stored value. */
        var bytes = BASE_BYTES
            private set

        fun add(allocation: Allocation, row: DispatchMarkerRecord.Row, rowBytes: Int) {
            allocations.add(allocation)
            rows.add(row)
            bytes += rowBytes
        }

        fun change() = Change(marker.key, DispatchMarkerRecord.encode(marker.number, rows))
    }

    private val packed = ArrayList<PackedMarker>()

    /** The marker that takes further allocations; null where the next one starts a marker of its own. */
    private var current: PackedMarker? = null
    private var totalRowBytes = 0

    /** The gang whose rows were last found to fit. */
    private var currentGang: OpenJob? = null
    private var gangBytes: Map<OpenJob, Int> = emptyMap()

    fun pack(allocations: List<Allocation>): List<PackedMarker> {
        gangBytes = bytesOfGangs(allocations)
        for (allocation in allocations) {
            if (allocation.job.gang && isTooLargeGang(allocation.job)) continue
            if (!add(allocation)) break
        }
        return packed
    }

    private fun bytesOfGangs(allocations: List<Allocation>): Map<OpenJob, Int> {
        val bytes = HashMap<OpenJob, Int>()
        for (allocation in allocations) {
            if (!allocation.job.gang) continue
            bytes.merge(allocation.job, DispatchMarkerRecord.Row.of(allocation).bytes, Int::plus)
        }
        return bytes
    }

    /** A gang whose rows do not all fit waits for a round of its own. */
    private fun isTooLargeGang(gang: OpenJob): Boolean = markerBytes(gang) > minOf(maxMarkerBytes, maxBytes / 2)

    private fun markerBytes(gang: OpenJob): Int = gangBytes.getValue(gang) + BASE_BYTES

    /** Adds [allocation] or leaves it out; false when no later one fits either, or may be tried before it. */
    private fun add(allocation: Allocation): Boolean {
        val job = allocation.job
        if (job.gang && currentGang !== job && !beginGang(job)) return false
        val row = DispatchMarkerRecord.Row.of(allocation)
        val rowBytes = row.bytes
        if (rowBytes + BASE_BYTES > maxMarkerBytes) return true
        if (current.let { it != null && it.bytes + rowBytes > maxMarkerBytes }) current = null
        if (totalRowBytes + rowBytes + BASE_BYTES > maxBytes) return false
        val target = current ?: newMarker() ?: return false
        target.add(allocation, row, rowBytes)
        totalRowBytes += rowBytes
        return true
    }

    /** A gang starts a marker of its own, so that it cannot be cut by a full one. */
    private fun beginGang(gang: OpenJob): Boolean {
        currentGang = gang
        current = null
        return packed.size < maxMarkers && totalRowBytes + markerBytes(gang) <= maxBytes
    }

    private fun newMarker(): PackedMarker? {
        if (packed.size >= maxMarkers) return null
        val marker = nextMarker() ?: return null
        return PackedMarker(marker).also {
            packed.add(it)
            current = it
        }
    }

    private companion object {
        /** What a marker takes beside its rows. */
        const val BASE_BYTES = 160
    }
}
