package org.chalkhollow.core

import org.chalkhollow.settings.StateLimits
import org.chalkhollow.wire.Change
import org.chalkhollow.wire.Fields
import org.chalkhollow.wire.Row

/**
 * Owns which machines were there before the first leader rented any: they are the operator's own and are kept, with the
 * images they hold, however long they idle. The names are written down once, by the first generation.
 */
class PreProvisionedMachines(private val context: CoreContext, private val limits: StateLimits) {
    var names: Set<String> = emptySet()
        private set
    private var recorded = false

    /** Whether this leader is the first of all, before whom nothing was rented. */
    var first = false
        private set
    private var due: Write? = null

    fun start(generation: Long) {
        names = emptySet()
        recorded = false
        due = null
        first = generation == 1L
    }

    fun load(row: Row) {
        recorded = true
        names = HashSet(Fields.of(row.value, row.key).texts("names"))
    }

    /** The first whole machine list of the first generation, read before anything was rented. */
    fun onList(found: Set<String>) {
        if (!first || recorded) return
        recorded = true
        val sorted = found.sorted()
        var size = Sizes.of(KEY)
        val kept =
            sorted.takeWhile { name ->
                Sizes.of(name).let {
                    size += it + 1
                    size < limits.valueBytes - MARGIN_BYTES
                }
            }
        names = HashSet(kept)
        due = write(kept)
        context.info("${kept.size} machines were here before us")
    }

    private fun write(kept: List<String>): Write =
        Write(listOf(Change(KEY, mapOf("names" to kept))), onRefused = {
            if (kept.isNotEmpty()) {
                due =
                    write(kept.take(kept.size / 2))
            }
        }) {}

    /** Whether renting may begin: what is listed later might be ours. */
    val known: Boolean get() = recorded || !first

    fun next(room: StateLog.Room): Write? {
        val write = due ?: return null
        if (room.ops < 1 || room.bytes < limits.valueBytes) return null
        due = null
        return write
    }

    companion object {
        const val KEY = "fleet/base"
        const val PREFIX = "fleet/"

        /** What the value takes beside the names. */
        private const val MARGIN_BYTES = 64
    }
}
