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

/**
 * A later leader knows the operator's own machines, however many there are. It would delete unknown ones when they are
 * idle, taking them for rented.
 */
class StaticMachinesTest {
    private val limits = StateLimits(rps = 80.0, writeRps = 20.0, valueBytes = 8 * 1024, txnOps = 12)

    private fun staticMachines() = StaticMachines(CoreContext(1), limits)

    private fun names(count: Int) = (1..count).map { "n-" + it.toString().padStart(6, '0') }.toSet()

    /** What the first leader writes for a list of the machines [found]. */
    private fun writeOfFirstLeader(found: Set<String>): Change {
        val first = staticMachines()
        first.start(1)
        first.onMachinesListed(found)
        assertEquals(found, first.names)
        val change = checkNotNull(first.next(TransactionBudget(11, 40 * 1024))).changes.single()
        assertNull(first.next(TransactionBudget(11, 40 * 1024)))
        assertTrue(EncodedSize.of(change) <= limits.valueBytes, "the change takes ${EncodedSize.of(change)} bytes")
        return change
    }

    private fun namesReadByLaterLeader(change: Change): Set<String> {
        val later = staticMachines()
        later.start(2)
        later.load(KeyValue(change.key, Pack.decode(Pack.encode(change.value)), 1))
        return later.names
    }

    @Test
    fun `thousands of numbered names are written in one value and all read back`() {
        val found = names(6000) + (names(7500) - names(6400))
        assertTrue(found == namesReadByLaterLeader(writeOfFirstLeader(found)))
    }

    @Test
    fun `names without runs are written as far as they fit, and no other names are read back`() {
        val found = (1..4000).map { "n-" + it * 7919L % 1_000_003 }.toSet()
        val known = namesReadByLaterLeader(writeOfFirstLeader(found))
        assertTrue(known.size > 400 && found.containsAll(known), "read back ${known.size} of ${found.size} names")
    }

    @Test
    fun `earlier versions can read few names in full, and of many names the plain ones`() {
        val few = writeOfFirstLeader(names(30))
        assertEquals(StaticMachines.KEY to mapOf("names" to names(30).toList()), few.key to few.value)
        val many = Fields.of(writeOfFirstLeader(names(6000)).value, "value")
        assertTrue(names(6000).containsAll(many.texts("names")) && many.texts("names").size > 500)
    }
}
