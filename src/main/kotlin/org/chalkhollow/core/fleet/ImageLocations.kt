package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.EncodedSize
import org.chalkhollow.core.storage.TransactionBudget
import org.chalkhollow.core.storage.Write
import org.chalkhollow.model.Change
import org.chalkhollow.model.KeyValue
import org.chalkhollow.settings.StateLimits
import org.chalkhollow.wire.Fields
import java.util.TreeSet

/**
 * Owns what is written down of which machine holds which images. Reports do not tell, and a new leader that did not
 * know would send tasks to fetch again what lies ready elsewhere. It is a hint: losing it costs time, never
 * correctness.
 */
class ImageLocations(
    private val context: CoreContext,
    private val names: Interners,
    private val limits: StateLimits,
    private val fleet: Fleet,
) {
    /** The images of a machine, by its name. */
    private val remembered = HashMap<String, List<String>>()
    private var writtenAt = 0L
    private var nextPage = 0

    /** Machines of one value; each takes about [MACHINE_BYTES]. */
    private val pageSize = maxOf(1, limits.valueBytes / MACHINE_BYTES)
    private val written = HashMap<Int, Map<String, Any?>>()

    /** Pages that an earlier leader left, perhaps of another size: they are written anew, or removed. */
    private val inherited = TreeSet<Int>()

    fun start() {
        remembered.clear()
        written.clear()
        inherited.clear()
        writtenAt = context.steady
    }

    fun load(row: KeyValue) {
        row.key
            .substringAfterLast('/')
            .toIntOrNull()
            ?.let(inherited::add)
        val f = Fields.of(row.value, row.key)
        val images = f.texts("images")
        for ((machine, value) in Fields.of(f.map["held"], row.key).map) {
            val list = (value as? List<*>)?.mapNotNull { (it as? Long)?.toInt() } ?: continue
            // The first is the session that this was noted in. Earlier versions took a new one for an empty cache.
            remembered[machine] = list.drop(1).mapNotNull(images::getOrNull)
        }
        for (m in fleet.machines) recall(m)
    }

    /** Gives [m] back what it held, also when its lease has lapsed since. */
    fun recall(m: Machine) {
        if (m.epoch == 0L) return
        for (image in remembered.remove(m.name) ?: return) {
            val index = names.images.intern(image)
            m.images.add(index)
            m.held.add(index)
        }
    }

    /** One page at a time, in turn, when it has changed: this must not take the place of what users wait for. */
    fun next(room: TransactionBudget): Write? {
        if (room.ops < 1 || room.bytes < limits.valueBytes) return null
        val pages = (names.machines.size + pageSize - 1) / pageSize
        if (pages == 0 || context.steady - writtenAt < maxOf(PAGE_MS, EVERY_MS / pages)) return null
        writtenAt = context.steady
        val page = nextPage % pages
        nextPage = page + 1
        val value = value(page)
        if (!inherited.remove(page) && value == (written[page] ?: EMPTY)) {
            val left = inherited.ceiling(pages)?.also(inherited::remove) ?: return null
            return Write(listOf(Change("$KEY/$left", null)), onRefused = {}) {}
        }
        written[page] = value
        return Write(listOf(Change("$KEY/$page", value)), onRefused = { written.remove(page) }) {}
    }

    private fun value(page: Int): Map<String, Any?> {
        val images = LinkedHashMap<Int, Int>()
        val held = LinkedHashMap<String, List<Long>>()
        var size = VALUE_BYTES
        for (id in page * pageSize until minOf((page + 1) * pageSize, names.machines.size)) {
            val m = fleet.find(names.machines.name(id)) ?: continue
            if (m.held.isEmpty() || m.state != Machine.State.UP) continue
            val fresh = m.held.filter { it !in images }.sumOf { EncodedSize.of(names.images.name(it)) + 1 }
            val bytes = EncodedSize.of(m.name) + ROW_BYTES + m.held.size * INDEX_BYTES + fresh
            if (size + bytes > limits.valueBytes) break
            size += bytes
            held[m.name] = listOf(m.epoch) + m.held.map { images.getOrPut(it) { images.size }.toLong() }
        }
        return mapOf("images" to images.keys.map(names.images::name), "held" to held)
    }

    companion object {
        const val KEY = "fleet/images"
        private const val EVERY_MS = 3000L
        private const val PAGE_MS = 500L
        private const val MACHINE_BYTES = 128

        // What a value, the row of a machine beside its name, and an image's index in it take at the most.
        private const val VALUE_BYTES = 64
        private const val ROW_BYTES = 12
        private const val INDEX_BYTES = 6
        private val EMPTY = mapOf<String, Any?>("images" to emptyList<String>(), "held" to emptyMap<String, Any?>())
    }
}
