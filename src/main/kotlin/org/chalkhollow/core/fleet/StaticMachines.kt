package org.chalkhollow.core.fleet

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.EncodedSize
import org.chalkhollow.core.storage.StateWriter
import org.chalkhollow.core.storage.TransactionBudget
import org.chalkhollow.core.storage.Write
import org.chalkhollow.model.Change
import org.chalkhollow.model.KeyValue
import org.chalkhollow.settings.StateLimits
import org.chalkhollow.wire.Fields

/**
 * Owns which machines were there before the first leader rented any: they are the operator's own and are kept, with the
 * images they hold, however long they idle. The names are stored once, by the first leader of all. The controller loads
 * and stores them; [CloudInventory] hands over the list, [ScaleIn] and its parts read the names.
 */
class StaticMachines(private val context: CoreContext, private val limits: StateLimits) {
    var names: Set<String> = emptySet()
        private set
    private var recorded = false

    /** Whether this leader is the first of all, before whom nothing was rented. */
    var isFirstLeader = false
        private set
    private var pendingWrite: Write? = null

    fun start(fencingToken: Long) {
        names = emptySet()
        recorded = false
        pendingWrite = null
        isFirstLeader = fencingToken == 1L
    }

    fun load(row: KeyValue) {
        recorded = true
        val fields = Fields.of(row.value, row.key)
        val runs = if (fields.has(RUNS)) fields.maps(RUNS).mapNotNull(NumberedNames::of) else emptyList()
        names = HashSet(fields.texts(NAMES) + runs.flatMap { it.names })
    }

    /** The first whole list of machines in the first leader's term, read before anything was rented. */
    fun onList(found: Set<String>) {
        if (!isFirstLeader || recorded) return
        recorded = true
        names = HashSet(found)
        pendingWrite = write(found.sorted())
        context.info("${found.size} static machines were there before the first rental")
    }

    /**
     * The names as they are; where a value cannot hold them, the last of them as runs, which earlier versions ignore.
     */
    private fun write(sorted: List<String>): Write {
        val valueBytes = limits.valueBytes - MARGIN_BYTES
        if (sorted.sumOf(::encodedBytes) < valueBytes) return write(sorted, emptyList())
        val runsBytes = valueBytes / RUNS_PART
        val plain = takeWithin(valueBytes - runsBytes, sorted, ::encodedBytes)
        val runs = NumberedNames.of(sorted.drop(plain.size)).map { it.value() }
        return write(plain, takeWithin(runsBytes, runs, ::encodedBytes))
    }

    /** The first of [items] that take less than [bytes] together. */
    private fun <T> takeWithin(bytes: Int, items: List<T>, size: (T) -> Int): List<T> {
        var left = bytes
        return items.takeWhile { item ->
            left -= size(item)
            left > 0
        }
    }

    private fun encodedBytes(item: Any): Int = EncodedSize.of(item) + 1

    /** What is refused although it should fit is halved; names that are not stored count as rented. */
    private fun write(plain: List<String>, runs: List<Map<String, Any?>>): Write {
        val value = if (runs.isEmpty()) mapOf(NAMES to plain) else mapOf(NAMES to plain, RUNS to runs)
        return Write(listOf(Change(KEY, value)), onRefused = {
            if (plain.isNotEmpty()) pendingWrite = write(plain.take(plain.size / 2), runs)
        }) {}
    }

    /** Whether the machines are known, so that renting may begin: what is listed later might be rented. */
    val isKnown: Boolean get() = recorded || !isFirstLeader

    /** The write that is due, if [room] has a place for it. */
    fun next(room: TransactionBudget): Write? {
        val write = pendingWrite ?: return null
        if (room.ops < 1 || room.bytes < limits.valueBytes) return null
        pendingWrite = null
        return write
    }

    companion object {
        const val KEY = "fleet/base"
        const val PREFIX = "fleet/"

        /** What the value takes beside the names. */
        private const val MARGIN_BYTES = 96

        /** One part in this many of a value is for runs, when it cannot hold all names. */
        private const val RUNS_PART = 4
        private const val NAMES = "names"
        private const val RUNS = "runs"
    }
}
