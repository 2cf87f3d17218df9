package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.DispatchMarker
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.EncodedSize
import org.chalkhollow.core.openJob
import org.chalkhollow.model.KeyValue
import org.chalkhollow.model.Shape
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

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
    private val gang = openJob("gang", Shape.GANG)
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

    @Test
    fun `a row that is too large for any marker is left out, and the rows after it are kept`() {
        val scattered = allocation(array, *IntArray(50) { it * 2 })
        val packed = pack(listOf(scattered, allocation(array, 1)), maxMarkerBytes = 160 + 2 * rowBytes)
        assertEquals(listOf(listOf("array:1")), packed)
    }

    @Test
    fun `a gang starts a new marker and is never split over two`() {
        val members = List(3) { allocation(gang, it) }
        val allocations = listOf(allocation(array, 0)) + members + allocation(array, 1)
        val whole = listOf(listOf("array:0"), listOf("gang:0", "gang:1", "gang:2", "array:1"))
        assertEquals(whole, pack(allocations))
        assertEquals(whole.take(1), pack(allocations, maxMarkers = 1), "no marker is left for the gang")
        val withoutGang = listOf(listOf("array:0", "array:1"))
        assertEquals(withoutGang, pack(allocations, maxMarkerBytes = 160 + 2 * rowBytes), "no marker fits the gang")
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
