package org.chalkhollow.core.attempts

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Tests the format in which dispatch markers store task indices. */
class IndexRangesTest {
    @Test
    fun `index ranges are decoded as they were encoded`() {
        for (set in listOf(
            intArrayOf(0),
            intArrayOf(0, 1, 2, 7),
            intArrayOf(3, 5, 6, 99_999),
            IntArray(1000) { it * 2 },
        )) {
            assertEquals(set.toList(), IndexRanges.decode(IndexRanges.encode(set)))
        }
        assertEquals("0-3,7", IndexRanges.encode(intArrayOf(0, 1, 2, 3, 7)))
    }
}
