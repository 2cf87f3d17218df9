package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.DispatchMarker
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.core.storage.TransactionBudget
import org.chalkhollow.core.storage.Write
import org.chalkhollow.model.Change
import org.chalkhollow.model.KeyValue
import org.chalkhollow.settings.StateLimits

/**
 * Owns the dispatch markers. A round's attempts are written down, as job, machine and index ranges in one value,
 * before any of them is started, so that a later leader knows what may run; a marker is removed once none of its
 * attempts needs it. Called for each placement round, while a new leader loads, and when an attempt needs its marker
 * no more.
 */
class DispatchLog(
    private val limits: StateLimits,
    private val reconciler: AttemptReconciler,
    private val fleet: Fleet,
) {
    /** Keys of markers that no attempt needs any more. */
    private val garbage = ArrayDeque<String>()
    private var fencingToken = 0L
    private var round = 0L

    /** Most bytes of a marker: the state service's limit, or less when it has refused one. */
    private var maxMarkerBytes = limits.valueBytes

    /** Attempt numbers under this fencing token are used up; the next token has new ones. */
    val attemptNumbersExhausted: Boolean get() = round >= ROUNDS - 1

    fun start(newFencingToken: Long) {
        fencingToken = newFencingToken
        round = 0
        maxMarkerBytes = limits.valueBytes
        garbage.clear()
    }

    /**
     * Reserves what fits of [allocations] and gives the markers to write for it; null when nothing fits. What does not
     * fit stays ready for the next round.
     */
    fun prepareMarkerWrite(allocations: List<Allocation>, room: TransactionBudget): Write? {
        val builder = DispatchMarkerBuilder(maxMarkerBytes, room.ops, room.bytes, ::nextMarker)
        val packed = builder.pack(allocations)
        if (packed.isEmpty()) return null
        val attempts = reserve(packed)
        return Write(packed.map { it.change() }, onRefused = {
            if (packed.size == 1) lowerMarkerLimit() // else there were too many
            reconciler.onMarkersRejected(attempts)
        }) {
            raiseMarkerLimit()
            reconciler.onMarkersPersisted(attempts)
        }
    }

    private fun reserve(packed: List<DispatchMarkerBuilder.PackedMarker>): List<Attempt> {
        val attempts = ArrayList<Attempt>()
        for (entry in packed) {
            for (allocation in entry.allocations) {
                for (index in allocation.tasks) attempts.add(reserve(allocation, index, entry.marker))
            }
        }
        return attempts
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
        round++
        return DispatchMarker(DispatchMarkerRecord.key(fencingToken, round), fencingToken * ROUNDS + round)
    }

    private fun lowerMarkerLimit() {
        maxMarkerBytes = maxOf(MIN_MARKER_BYTES, maxMarkerBytes / 2)
    }

    private fun raiseMarkerLimit() {
        if (maxMarkerBytes >= limits.valueBytes) return
        maxMarkerBytes = minOf(limits.valueBytes, maxMarkerBytes + maxMarkerBytes / GROWTH_DIVISOR)
    }

    /** One of [marker]'s attempts needs it no more. */
    fun onMarkerReleased(marker: DispatchMarker) {
        if (marker.release()) garbage.add(marker.key)
    }

    /** Removes one marker that no attempt needs any more. */
    fun nextMarkerRemoval(room: TransactionBudget): Write? {
        if (room.ops < 1) return null
        val key = garbage.removeFirstOrNull() ?: return null
        return Write(listOf(Change(key, null)), onRefused = { garbage.add(key) }) {}
    }

    /**
     * Takes in an earlier leader's marker: the outcome of its attempts is unknown until their machines tell, or are
     * gone.
     */
    fun load(stored: KeyValue, jobs: JobTable) {
        val marker = DispatchMarker(stored.key, DispatchMarkerRecord.number(stored))
        marker.hold() // until the whole marker is read
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
        /** A fencing token has attempt numbers for so many rounds. */
        const val ROUNDS = 1L shl 16

        /** After a refusal markers grow again by this part each time. */
        const val GROWTH_DIVISOR = 16
        const val MIN_MARKER_BYTES = 512
    }
}
