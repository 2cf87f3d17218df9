package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.DispatchMarker
import org.chalkhollow.core.cluster.HoldReason
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.core.jobs.fits
import org.chalkhollow.core.storage.TransactionBudget
import org.chalkhollow.core.storage.Write
import org.chalkhollow.model.Change
import org.chalkhollow.model.KeyValue
import org.chalkhollow.settings.StateLimits

/**
 * Owns the dispatch markers. Before any attempt of a placement round is started, the attempts are persisted in markers
 * as job, machine and index ranges, so that a later leader knows what may run. A marker is removed once none of its
 * attempts needs it. Called for each placement round, while a new leader loads, and when an attempt no longer needs its
 * marker.
 */
class DispatchLog(
    private val limits: StateLimits,
    private val reconciler: AttemptReconciler,
    private val fleet: Fleet,
) {
    /** Keys of markers that no attempt needs. */
    private val removableKeys = ArrayDeque<String>()

    /** Writes of the markers of gangs, in the order of their rounds. */
    private val gangWrites = ArrayDeque<Write>()
    private var fencingToken = 0L
    private var markerCount = 0L

    /** Size limit of a marker: the state service's limit, or less after it has rejected a marker. */
    private var maxMarkerBytes = limits.recordBytes

    /** Whether all attempt numbers of this fencing token are used; the next token has new ones. */
    val attemptNumbersExhausted: Boolean get() = markerCount >= MARKERS_PER_TOKEN - 1

    fun start(newFencingToken: Long) {
        fencingToken = newFencingToken
        markerCount = 0
        maxMarkerBytes = limits.recordBytes
        removableKeys.clear()
        gangWrites.clear()
    }

    /** A marker that was built under the limit [maxBytes], whose tasks are reserved and whose write is pending. */
    private class ReservedMarker(
        val change: Change,
        val maxBytes: Int,
        val allocations: List<Allocation>,
        val attempts: List<Attempt>,
    )

    /** Whether markers of gangs whose tasks are reserved are still to be written. */
    val hasGangWrites: Boolean get() = gangWrites.isNotEmpty()

    /**
     * Reserves the [allocations] that fit into [budget] and returns the write of their markers; null if there is none.
     * Tasks that do not fit stay pending for the next round. Gangs are reserved as a whole; what the budget does not
     * suffice for is returned by [nextGangWrite]. [events] are told what becomes of each allocation.
     */
    fun prepareMarkerWrite(allocations: List<Allocation>, budget: TransactionBudget, events: DispatchEvents): Write? {
        val (ofGangs, others) = allocations.partition { it.job.gang }
        for (gang in ofGangs.groupBy { it.job }.values) beginGang(gang, events)
        return markerWrite(others, budget, events) ?: nextGangWrite(budget)
    }

    private fun markerWrite(allocations: List<Allocation>, budget: TransactionBudget, events: DispatchEvents): Write? {
        val builder = DispatchMarkerBuilder(maxMarkerBytes, budget.ops, budget.bytes, ::nextMarker)
        val packed = builder.pack(allocations)
        hold(builder.leftOut, events)
        if (packed.isEmpty()) return null
        val markers = reserve(packed, events)
        return writeOf(markers, events, parts = markers.map { writeOf(listOf(it), events) })
    }

    private fun writeOf(markers: List<ReservedMarker>, events: DispatchEvents, parts: List<Write> = emptyList()) =
        Write(markers.map { it.change }, { onRejected(markers, events) }, parts) { onDurable(markers, events) }

    private fun onDurable(markers: List<ReservedMarker>, events: DispatchEvents) {
        raiseMarkerLimit()
        events.onDispatched(markers.flatMap { it.allocations })
        reconciler.onMarkersPersisted(markers.flatMap { it.attempts })
    }

    private fun onRejected(markers: List<ReservedMarker>, events: DispatchEvents) {
        lowerMarkerLimit(markers.first().maxBytes)
        reconciler.onMarkersRejected(markers.flatMap { it.attempts })
        events.onRejected(markers.flatMap { it.allocations })
    }

    /** Reserves a gang, whose tasks are started when all its markers are durable; holds it if one task does not fit. */
    private fun beginGang(allocations: List<Allocation>, events: DispatchEvents) {
        val builder = DispatchMarkerBuilder(maxMarkerBytes, Int.MAX_VALUE, Int.MAX_VALUE, ::nextMarker)
        val packed = builder.pack(allocations)
        if (builder.leftOut.isNotEmpty()) return hold(builder.leftOut, events)
        val markers = reserve(packed, events)
        val onRejected = { gang: GangDispatch ->
            gangWrites.removeAll(gang.writes)
            onRejected(markers, events)
        }
        gangWrites.addAll(GangDispatch(markers.map { it.change }, { onDurable(markers, events) }, onRejected).writes)
    }

    /** Returns the write of the next marker of a gang, if it fits into [budget]; else null. */
    fun nextGangWrite(budget: TransactionBudget): Write? =
        if (gangWrites.firstOrNull()?.fits(budget) == true) gangWrites.removeFirst() else null

    private fun hold(leftOut: List<DispatchMarkerBuilder.LeftOut>, events: DispatchEvents) {
        for (left in leftOut) events.onHeld(left.allocation, left.reason)
        // The limit may be too low for a single task after rejections, and no success may be left to raise it.
        if (leftOut.any { it.reason == HoldReason.MARKER_ROW_TOO_LARGE }) raiseMarkerLimit()
    }

    private fun reserve(
        packed: List<DispatchMarkerBuilder.PackedMarker>,
        events: DispatchEvents,
    ): List<ReservedMarker> {
        events.onDispatching(packed.flatMap { it.allocations })
        return packed.map { entry ->
            val attempts = entry.allocations.flatMap { a -> a.tasks.map { index -> reserve(a, index, entry.marker) } }
            ReservedMarker(entry.change(), maxMarkerBytes, entry.allocations, attempts)
        }
    }

    private fun reserve(allocation: Allocation, index: Int, marker: DispatchMarker): Attempt =
        reconciler.reserve(
            allocation.job,
            index,
            marker.number,
            allocation.machine,
            marker,
            allocation.fromCredit,
        )

    private fun nextMarker(): DispatchMarker? {
        if (attemptNumbersExhausted) return null
        markerCount++
        return DispatchMarker(
            DispatchMarkerRecord.key(fencingToken, markerCount),
            fencingToken * MARKERS_PER_TOKEN + markerCount,
        )
    }

    /** A marker built under the limit [rejectedBytes] was rejected; others built under it do not lower it again. */
    private fun lowerMarkerLimit(rejectedBytes: Int) {
        maxMarkerBytes = minOf(maxMarkerBytes, maxOf(MIN_MARKER_BYTES, rejectedBytes / 2))
    }

    private fun raiseMarkerLimit() {
        if (maxMarkerBytes >= limits.recordBytes) return
        maxMarkerBytes = minOf(limits.recordBytes, maxMarkerBytes + maxMarkerBytes / GROWTH_DIVISOR)
    }

    /** One of the attempts that [marker] lists no longer needs it. */
    fun onMarkerReleased(marker: DispatchMarker) {
        if (marker.release()) removableKeys.add(marker.key)
    }

    /** Returns the write that removes one marker that no attempt needs, or null if there is none. */
    fun nextMarkerRemoval(budget: TransactionBudget): Write? {
        if (budget.ops < 1) return null
        val key = removableKeys.removeFirstOrNull() ?: return null
        return Write(listOf(Change(key, null)), onRejected = { removableKeys.add(key) }) {}
    }

    /**
     * Loads an earlier leader's marker. The outcome of its attempts is unknown until heartbeats of their machines show
     * it, or the machines are gone.
     */
    fun load(stored: KeyValue, jobs: JobTable) {
        val marker = DispatchMarker(stored.key, DispatchMarkerRecord.number(stored))
        marker.hold() // until all rows are read
        for (row in DispatchMarkerRecord.rows(stored)) {
            val job = jobs.findForMarker(row.jobId) ?: continue
            val machine = fleet.getOrAdd(row.machineName)
            for (index in IndexRanges.decode(row.ranges)) {
                if (index >= job.spec.tasks || job.progress.isDone(index)) continue
                reconciler.reserveInherited(job, index, marker.number, machine, marker)
            }
        }
        onMarkerReleased(marker)
    }

    private companion object {
        /** Number of markers, each with an attempt number of its own, under one fencing token. */
        const val MARKERS_PER_TOKEN = 1L shl 16

        /**
         * After a rejection, each successful write raises the size limit by one part in this many, up to the full
         * limit.
         */
        const val GROWTH_DIVISOR = 16
        const val MIN_MARKER_BYTES = 512
    }
}
