package org.chalkhollow.core.fleet

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.EncodedSize
import org.chalkhollow.core.storage.TransactionBudget
import org.chalkhollow.core.storage.Write
import org.chalkhollow.model.Change
import org.chalkhollow.model.KeyValue
import org.chalkhollow.settings.StateLimits
import org.chalkhollow.wire.Fields

/**
 * Owns which machines were there before the first leader rented any: they are the operator's own and are kept, with the
 * images they hold, however long they idle. The names are written down once, by the first generation.
 */
class StaticMachines(private val context: CoreContext, private val limits: StateLimits) {
    var names: Set<String> = emptySet()
        private set
    private var recorded = false

    /** Whether this leader is the first of all, before whom nothing was rented. */
    var first = false
        private set
    private var due: Write? = null

    fun start(fencingToken: Long) {
        names = emptySet()
        recorded = false
        due = null
        first = fencingToken == 1L
    }

    fun load(row: KeyValue) {
        recorded = true
        val fields = Fields.of(row.value, row.key)
        val runs = if (fields.has(RUNS)) fields.maps(RUNS).mapNotNull(NumberedNames::of) else emptyList()
        names = HashSet(fields.texts("names") + runs.flatMap { it.names })
    }

    /** The first whole machine list of the first generation, read before anything was rented. */
    fun onList(found: Set<String>) {
        if (!first || recorded) return
        recorded = true
        names = HashSet(found)
        due = write(found.sorted())
        context.info("${found.size} machines were here before us")
    }

    /**
     * The names as they are; where a value cannot hold them, the last of them as runs, which earlier versions ignore.
     */
    private fun write(sorted: List<String>): Write {
        val all = sorted.sumOf(::bytes)
        val room = limits.valueBytes - MARGIN_BYTES
        if (all < room) return write(sorted, emptyList())
        var left = room - room / RUNS_PART
        val kept =
            sorted.takeWhile { name ->
                left -= bytes(name)
                left > 0
            }
        val runs = NumberedNames.of(sorted.drop(kept.size)).map { it.value() }
        var leftForRuns = room / RUNS_PART
        return write(
            kept,
            runs.takeWhile { run ->
                leftForRuns -= EncodedSize.of(run) + 1
                leftForRuns > 0
            },
        )
    }

    private fun bytes(name: String): Int = EncodedSize.of(name) + 1

    /** What is refused although it should fit is halved; names that are not written count as rented. */
    private fun write(kept: List<String>, runs: List<Map<String, Any?>>): Write {
        val value = if (runs.isEmpty()) mapOf("names" to kept) else mapOf("names" to kept, RUNS to runs)
        return Write(listOf(Change(KEY, value)), onRefused = {
            if (kept.isNotEmpty()) due = write(kept.take(kept.size / 2), runs)
        }) {}
    }

    /** Whether renting may begin: what is listed later might be ours. */
    val known: Boolean get() = recorded || !first

    fun next(room: TransactionBudget): Write? {
        val write = due ?: return null
        if (room.ops < 1 || room.bytes < limits.valueBytes) return null
        due = null
        return write
    }

    companion object {
        const val KEY = "fleet/base"
        const val PREFIX = "fleet/"

        /** What the value takes beside the names. */
        private const val MARGIN_BYTES = 96

        /** One part in this many of a value is for runs, when it cannot hold all names. */
        private const val RUNS_PART = 4
        private const val RUNS = "runs"
    }
}
