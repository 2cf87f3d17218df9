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
 * Owns which machines existed before the first leader rented any. They are the operator's own and are kept, with their
 * cached images, however long they are idle. The first leader of all stores their names once. The controller loads the
 * names, and [StateWriter] stores them; [CloudInventory] passes on the list, [ScaleIn] and its parts read the names.
 */
class StaticMachines(private val context: CoreContext, private val limits: StateLimits) {
    var names: Set<String> = emptySet()
        private set
    private var isRecorded = false

    /** Whether this leader is the first of all, before which nothing was rented. */
    var isFirstLeader = false
        private set
    private var pendingWrite: Write? = null

    fun start(fencingToken: Long) {
        names = emptySet()
        isRecorded = false
        pendingWrite = null
        isFirstLeader = fencingToken == 1L
    }

    fun load(row: KeyValue) {
        isRecorded = true
        val fields = Fields.of(row.value, row.key)
        val runs = if (fields.has(RUNS_FIELD)) fields.maps(RUNS_FIELD).mapNotNull(NumberedNames::of) else emptyList()
        names = HashSet(fields.texts(NAMES_FIELD) + runs.flatMap { it.names })
    }

    /** Records the first complete list of machines in the first leader's term, read before anything was rented. */
    fun onMachinesListed(listedNames: Set<String>) {
        if (!isFirstLeader || isRecorded) return
        isRecorded = true
        names = HashSet(listedNames)
        pendingWrite = write(listedNames.sorted())
        context.info("found ${listedNames.size} static machines before the first rental")
    }

    /**
     * Writes plain names. If one value cannot hold them all, the last ones are written as runs, which earlier versions
     * ignore.
     */
    private fun write(sorted: List<String>): Write {
        val valueBytes = limits.recordBytes - VALUE_OVERHEAD_BYTES
        if (sorted.sumOf(::encodedBytes) < valueBytes) return write(sorted, emptyList())
        val runsBytes = valueBytes / RUNS_DIVISOR
        val plain = takeFitting(valueBytes - runsBytes, sorted, ::encodedBytes)
        val runs = NumberedNames.of(sorted.drop(plain.size)).map { it.value() }
        return write(plain, takeFitting(runsBytes, runs, ::encodedBytes))
    }

    /** The first of [items] that together take less than [bytes]. */
    private fun <T> takeFitting(bytes: Int, items: List<T>, size: (T) -> Int): List<T> {
        var leftBytes = bytes
        return items.takeWhile { item ->
            leftBytes -= size(item)
            leftBytes > 0
        }
    }

    private fun encodedBytes(item: Any): Int = EncodedSize.of(item) + 1

    /**
     * Returns a write of the names. Each time the state service rejects it although it should fit, it is retried with
     * half of the plain names. Names that are not stored count as rented.
     */
    private fun write(plain: List<String>, runs: List<Map<String, Any?>>): Write {
        val value = if (runs.isEmpty()) mapOf(NAMES_FIELD to plain) else mapOf(NAMES_FIELD to plain, RUNS_FIELD to runs)
        return Write(listOf(Change(KEY, value)), onRejected = {
            if (plain.isNotEmpty()) pendingWrite = write(plain.take(plain.size / 2), runs)
        }) {}
    }

    /**
     * Whether the static machines are known, so that renting may begin; a machine listed later might be a rented one.
     */
    val isKnown: Boolean get() = isRecorded || !isFirstLeader

    /** The pending write, if it fits into [budget]; else null. */
    fun next(budget: TransactionBudget): Write? {
        val write = pendingWrite ?: return null
        if (budget.ops < 1 || budget.bytes < limits.recordBytes) return null
        pendingWrite = null
        return write
    }

    companion object {
        const val KEY = "fleet/base"
        const val PREFIX = "fleet/"

        /** Upper bound of the size of the value without the names. */
        private const val VALUE_OVERHEAD_BYTES = 96

        /** One part in this many of a value is for runs if it cannot hold all plain names. */
        private const val RUNS_DIVISOR = 4
        private const val NAMES_FIELD = "names"
        private const val RUNS_FIELD = "runs"
    }
}
