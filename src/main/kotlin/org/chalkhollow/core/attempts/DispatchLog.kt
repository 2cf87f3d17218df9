package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.DispatchMarker
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.EncodedSize
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.core.storage.StateWriter
import org.chalkhollow.core.storage.Write
import org.chalkhollow.model.Change
import org.chalkhollow.model.KeyValue
import org.chalkhollow.settings.StateLimits
import org.chalkhollow.wire.Fields
import org.chalkhollow.wire.MalformedMessageException

/** Tasks of one job that a placement round gives to one machine; [fromCredit] to a job that had been passed over. */
class Allocation(val job: OpenJob, val machine: Machine, val tasks: IntArray, val fromCredit: Boolean)

/**
 * Owns the dispatch markers. A round's attempts are written down, as job, machine and index ranges in one value, before
 * any of them is started; a marker is removed once all of its attempts are settled.
 */
class DispatchLog(
    private val limits: StateLimits,
    private val reconciler: AttemptReconciler,
    private val fleet: Fleet,
) {
    private val trash = ArrayDeque<String>()
    private var fencingToken = 0L
    private var round = 0L

    /** Most bytes of a marker: the state service's limit, or less when it has refused one. */
    private var mostBytes = limits.valueBytes

    /** Attempt numbers of this generation are used up; the next generation has new ones. */
    val exhausted: Boolean get() = round >= ROUNDS - 1

    fun start(newFencingToken: Long) {
        fencingToken = newFencingToken
        round = 0
        mostBytes = limits.valueBytes
        trash.clear()
    }

    /**
     * The markers of a round: at most [StateWriter.Room.ops] values; what does not fit stays ready for the next round.
     */
    fun mark(allocations: List<Allocation>, room: StateWriter.Room): Write? {
        val changes = ArrayList<Change>()
        val attempts = ArrayList<Attempt>()
        val markers = ArrayList<DispatchMarker>()
        var rows = ArrayList<Any?>()
        var size = BASE_BYTES
        var total = 0
        var marker: DispatchMarker? = null

        fun seal() {
            val m = marker ?: return
            changes.add(Change(m.key, mapOf("n" to m.number, "a" to rows)))
            rows = ArrayList()
            size = BASE_BYTES
            marker = null
        }
        // A gang whose rows do not all fit waits for a round of its own: it is marked whole or not at all.
        val tooLarge =
            allocations
                .filter { it.job.gang }
                .groupBy { it.job }
                .filterValues { rows ->
                    rows.sumOf { rowBytes(it) } + BASE_BYTES > minOf(mostBytes, room.bytes / 2)
                }.keys
        var gangs: OpenJob? = null
        for (allocation in allocations) {
            if (allocation.job in tooLarge) continue
            if (allocation.job.gang && gangs !== allocation.job) {
                gangs = allocation.job
                seal() // a gang starts a value of its own, so that it cannot be cut by a full one
                if (changes.size >= room.ops ||
                    total + allocations.filter { it.job === gangs }.sumOf { rowBytes(it) } + BASE_BYTES > room.bytes
                ) {
                    break
                }
            }
            val row = listOf(allocation.job.spec.id, allocation.machine.name, ranges(allocation.tasks))
            val rowSize = rowBytes(allocation)
            if (rowSize + BASE_BYTES > mostBytes) continue
            if (marker != null && size + rowSize > mostBytes) seal()
            if (total + rowSize + BASE_BYTES > room.bytes) break
            if (marker == null && (changes.size >= room.ops || exhausted)) break
            val m =
                marker ?: nextMarker().also {
                    marker = it
                    markers.add(it)
                }
            rows.add(row)
            size += rowSize
            total += rowSize
            for (index in allocation.tasks) {
                attempts.add(
                    reconciler.reserve(allocation.job, index, m.number, allocation.machine, m, allocation.fromCredit),
                )
            }
        }
        seal()
        if (changes.isEmpty()) return null
        return Write(changes, onRefused = {
            if (changes.size == 1) mostBytes = maxOf(MIN_BYTES, mostBytes / 2) // else there were too many
            reconciler.unmarked(attempts)
        }) {
            if (mostBytes < limits.valueBytes) mostBytes = minOf(limits.valueBytes, mostBytes + mostBytes / GROWTH_OF)
            for (m in markers) m.durable = true
            reconciler.marked(attempts)
        }
    }

    private fun rowBytes(a: Allocation): Int =
        EncodedSize.of(listOf(a.job.spec.id, a.machine.name, ranges(a.tasks))) + 2

    private fun nextMarker(): DispatchMarker {
        round++
        return DispatchMarker(
            MARK + fencingToken.toString().padStart(FENCING_TOKEN_DIGITS, '0') + "/" + round,
            fencingToken * ROUNDS + round,
        )
    }

    /** One of [marker]'s attempts is settled and needs it no more. */
    fun settled(marker: DispatchMarker) {
        if (--marker.outstanding == 0) trash.add(marker.key)
    }

    fun nextTrash(room: StateWriter.Room): Write? {
        if (room.ops < 1) return null
        val key = trash.removeFirstOrNull() ?: return null
        return Write(listOf(Change(key, null)), onRefused = { trash.add(key) }) {}
    }

    /** Takes in an earlier leader's marker: its attempts are in doubt until their machines tell, or are gone. */
    fun load(row: KeyValue, jobs: JobTable) {
        val f = Fields.of(row.value, row.key)
        val marker = DispatchMarker(row.key, f.long("n"))
        marker.durable = true
        marker.outstanding = 1 // held until the whole marker is read
        for (item in f.list("a")) {
            val parts = item as? List<*> ?: throw MalformedMessageException("${row.key} is not a marker")
            val job = jobs.marked(parts[0].toString()) ?: continue
            val machine = fleet.known(parts[1].toString())
            for (index in indices(parts[2].toString())) {
                if (index >= job.spec.tasks || job.done.get(index)) continue
                val attempt = reconciler.reserve(job, index, marker.number, machine, marker)
                attempt.inherited = true
                attempt.phase = Attempt.Phase.SENT
            }
        }
        settled(marker)
    }

    companion object {
        const val MARK = "mark/"
        private const val ROUND_BITS = 16
        private const val ROUNDS = 1L shl ROUND_BITS

        /** Keys of markers are listed in the order of their generations. */
        private const val FENCING_TOKEN_DIGITS = 12

        /** After a refusal markers grow again by this part each time. */
        private const val GROWTH_OF = 16
        private const val BASE_BYTES = 160
        private const val MIN_BYTES = 512

        /** `0-3,7` for 0, 1, 2, 3 and 7. */
        fun ranges(sorted: IntArray): String {
            val text = StringBuilder()
            var i = 0
            while (i < sorted.size) {
                var j = i
                while (j + 1 < sorted.size && sorted[j + 1] == sorted[j] + 1) j++
                if (text.isNotEmpty()) text.append(',')
                text.append(sorted[i])
                if (j > i) text.append('-').append(sorted[j])
                i = j + 1
            }
            return text.toString()
        }

        fun indices(ranges: String): List<Int> =
            ranges.split(',').flatMap { part ->
                val first = part.substringBefore('-').toInt()
                val last = part.substringAfter('-').toInt()
                (first..last).toList()
            }
    }
}
