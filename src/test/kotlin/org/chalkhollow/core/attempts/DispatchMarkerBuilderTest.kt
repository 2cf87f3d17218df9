package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.DispatchMarker
import org.chalkhollow.core.cluster.HoldReason
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.EncodedSize
import org.chalkhollow.core.openJob
import org.chalkhollow.model.KeyValue
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.util.SplittableRandom

class DispatchMarkerBuilderTest {
    private val machine = Machine(0, "n-1")

    private fun allocation(job: OpenJob, vararg tasks: Int) = Allocation(job, machine, tasks, fromCredit = false)

    /** Packs [allocations] and returns the tasks of each marker, as `job:ranges`. */
    private fun pack(
        allocations: List<Allocation>,
        maxMarkerBytes: Int = 10_000,
        maxMarkers: Int = 10,
        maxBytes: Int = 100_000,
        attemptNumbers: Int = 100,
    ): List<List<String>> {
        var last = 0
        val nextMarker = { if (last == attemptNumbers) null else DispatchMarker("mark/${++last}", last.toLong()) }
        val packed = DispatchMarkerBuilder(maxMarkerBytes, maxMarkers, maxBytes, nextMarker).pack(allocations)
        for (entry in packed) assertTrue(EncodedSize.of(entry.change().value) <= maxMarkerBytes)
        return packed.map { entry -> entry.allocations.map { "${it.job.spec.id}:${IndexRanges.encode(it.tasks)}" } }
    }

    private val array = openJob("array", tasks = 100)
    private val rowBytes = DispatchMarkerRecord.Row.of(allocation(array, 0)).bytes

    @Test
    fun `allocations share a marker until it is full, within the limits of the transaction and of attempt numbers`() {
        val allocations = List(5) { allocation(array, it) }
        val all = listOf("array:0", "array:1", "array:2", "array:3", "array:4")
        assertEquals(listOf(all), pack(allocations))
        val twoRows = 160 + 2 * rowBytes
        assertEquals(all.chunked(2), pack(allocations, maxMarkerBytes = twoRows))
        assertEquals(all.take(4).chunked(2), pack(allocations, maxMarkerBytes = twoRows, maxMarkers = 2))
        assertEquals(listOf(all.take(3)), pack(allocations, maxBytes = 160 + 3 * rowBytes))
        assertEquals(all.take(2).chunked(2), pack(allocations, maxMarkerBytes = twoRows, attemptNumbers = 1))
    }

    // Guards against tasks that are never started: an allocation whose row exceeded a marker was left out each time.
    @Test
    fun `a row that is too large for any marker is split over several, and the rows after it are kept`() {
        val scattered = allocation(array, 0, 2, 4, 6, 8, 10)
        // A row takes its first index and one more of one digit; an index of two digits needs a row of its own.
        val packed = pack(listOf(scattered, allocation(array, 1)), maxMarkerBytes = 160 + rowBytes + 2)
        val parts =
            listOf(listOf("array:0,2"), listOf("array:4,6"), listOf("array:8"), listOf("array:10"), listOf("array:1"))
        assertEquals(parts, packed)
    }

    @Test
    fun `a task that exceeds a marker by itself is left out with its reason, and the rows after it are kept`() {
        val longName = Machine(1, "n".repeat(300))
        val unfit = Allocation(array, longName, intArrayOf(3), fromCredit = false)
        val builder = DispatchMarkerBuilder(400, 10, 10_000) { DispatchMarker("mark/1", 1) }
        val packed = builder.pack(listOf(unfit, allocation(array, 1)))
        assertEquals(listOf(1), packed.single().allocations.map { it.tasks.single() })
        assertEquals(listOf(HoldReason.MARKER_ROW_TOO_LARGE), builder.leftOut.map { it.reason })
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `every task of scattered arrays is packed in the end, whatever the gaps and the limits`(seed: Long) {
        val random = SplittableRandom(seed)
        repeat(40) {
            val maxMarkerBytes = random.nextInt(512, 70_000)
            val maxMarkers = random.nextInt(1, 12)
            val gapPercent = random.nextInt(0, 100)
            var pending =
                List(random.nextInt(1, 20)) { index ->
                    val tasks = IntArray(random.nextInt(1, 6000)) { it }.filter { random.nextInt(100) >= gapPercent }
                    allocation(openJob("j-$index", tasks = 6000), *tasks.toIntArray())
                }.filter { it.tasks.isNotEmpty() }
            val wanted = pending.associate { it.job to it.tasks.toList() }
            val packed = HashMap<OpenJob, ArrayList<Int>>()
            var rounds = 0
            while (pending.isNotEmpty()) {
                check(++rounds < 10_000) { "no end with markers of $maxMarkerBytes bytes" }
                var last = 0L
                val maxBytes = random.nextInt(2000, 40_000)
                val builder =
                    DispatchMarkerBuilder(
                        maxMarkerBytes,
                        maxMarkers,
                        maxBytes,
                    ) { DispatchMarker("mark/${++last}", last) }
                val markers = builder.pack(pending)
                assertTrue(markers.isNotEmpty() && markers.size <= maxMarkers)
                val sizes = markers.map { EncodedSize.of(it.change().value) }
                assertTrue(sizes.all { it <= maxMarkerBytes }, "$sizes")
                for (allocation in markers.flatMap { it.allocations }) {
                    packed.getOrPut(allocation.job) { ArrayList() }.addAll(allocation.tasks.toList())
                }
                assertTrue(builder.leftOut.all { it.reason == HoldReason.TRANSACTION_FULL })
                pending = builder.leftOut.map { it.allocation }
            }
            assertEquals(wanted, packed.toMap())
        }
    }

    @Test
    fun `a marker is decoded as it was encoded`() {
        val marker = DispatchMarker(DispatchMarkerRecord.key(7, 3), 9)
        val builder = DispatchMarkerBuilder(10_000, 1, 10_000) { marker }
        val change =
            builder
                .pack(
                    listOf(allocation(array, 0, 1, 2, 7), allocation(openJob("other"), 5)),
                ).single()
                .change()
        assertEquals("mark/000000000007/3", change.key)
        val rows = listOf(listOf("array", "n-1", "0-2,7"), listOf("other", "n-1", "5"))
        assertEquals(mapOf("n" to 9L, "a" to rows), change.value)
        val stored = KeyValue(change.key, checkNotNull(change.value), 1)
        assertEquals(9, DispatchMarkerRecord.number(stored))
        assertEquals(rows, DispatchMarkerRecord.rows(stored).map { it.encode() }.toList())
    }
}
