package org.chalkhollow.core.fleet

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.EncodedSize
import org.chalkhollow.core.storage.TransactionBudget
import org.chalkhollow.model.Change
import org.chalkhollow.model.KeyValue
import org.chalkhollow.settings.StateLimits
import org.chalkhollow.wire.Fields
import org.chalkhollow.wire.Pack
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The operator's own machines are known to later leaders, however many there are. */
class StaticMachinesTest {
    private val limits = StateLimits(rps = 80.0, writeRps = 20.0, valueBytes = 8 * 1024, txnOps = 12)

    private fun machines() = StaticMachines(CoreContext(1), limits)

    private fun names(count: Int) = (1..count).map { "n-" + it.toString().padStart(6, '0') }.toSet()

    /** What the first leader writes of [found]. */
    private fun written(found: Set<String>): Change {
        val first = machines()
        first.start(1)
        first.onList(found)
        assertEquals(found, first.names)
        val change = checkNotNull(first.next(TransactionBudget(11, 40 * 1024))).changes.single()
        assertNull(first.next(TransactionBudget(11, 40 * 1024)))
        assertTrue(EncodedSize.of(change) <= limits.valueBytes, "it takes ${EncodedSize.of(change)} bytes")
        return change
    }

    private fun readAgain(change: Change): Set<String> {
        val later = machines()
        later.start(2)
        later.load(KeyValue(change.key, Pack.decode(Pack.encode(change.value)), 1))
        return later.names
    }

    @Test
    fun `six thousand machines are written in one value, and all of them are read again`() {
        val found = names(6000) + (names(7500) - names(6400))
        assertTrue(found == readAgain(written(found)))
    }

    @Test
    fun `names in no order are written as far as they fit, and no others are made up`() {
        val found = (1..4000).map { "n-" + it * 7919L % 1_000_003 }.toSet()
        val known = readAgain(written(found))
        assertTrue(known.size > 400 && found.containsAll(known), "${known.size} names of ${found.size}")
    }

    @Test
    fun `a few machines are written as in earlier versions, which read the names alone`() {
        val few = written(names(30))
        assertEquals(StaticMachines.KEY to mapOf("names" to names(30).toList()), few.key to few.value)
        val many = Fields.of(written(names(6000)).value, "value")
        assertTrue(names(6000).containsAll(many.texts("names")) && many.texts("names").size > 500)
    }
}
