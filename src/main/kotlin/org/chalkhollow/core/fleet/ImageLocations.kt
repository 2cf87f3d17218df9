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
 * Owns what is stored of which machine holds which images. Heartbeats do not tell, and a new leader that did not know
 * would send tasks to fetch again what lies ready elsewhere. It is a hint: losing it costs time, never correctness. The
 * controller loads and stores it, and `HeartbeatHandler` recalls it for each machine that is heard of.
 */
class ImageLocations(
    private val context: CoreContext,
    private val names: Interners,
    private val limits: StateLimits,
    private val fleet: Fleet,
) {
    /** The images of machines that have not been heard of yet, by their names. */
    private val remembered = HashMap<String, List<String>>()
    private var writtenAt = 0L
    private var nextPage = 0

    /** Machines of one page, which is one value; each takes about [MACHINE_BYTES]. */
    private val pageSize = maxOf(1, limits.valueBytes / MACHINE_BYTES)
    private val writtenPages = HashMap<Int, Map<String, Any?>>()

    /** Pages that an earlier leader left, perhaps of another size: they are written anew, or removed. */
    private val inheritedPages = TreeSet<Int>()

    fun start() {
        remembered.clear()
        writtenPages.clear()
        inheritedPages.clear()
        writtenAt = context.steady
    }

    fun load(row: KeyValue) {
        val page = row.key.substringAfterLast('/').toIntOrNull()
        if (page != null) inheritedPages.add(page)
        val fields = Fields.of(row.value, row.key)
        val images = fields.texts(IMAGES)
        for ((machine, value) in Fields.of(fields.map[HELD], row.key).map) {
            val indices = (value as? List<*>)?.mapNotNull { (it as? Long)?.toInt() } ?: continue
            // The first is the epoch that this was noted in. Earlier versions took a new one for an empty cache.
            remembered[machine] = indices.drop(1).mapNotNull(images::getOrNull)
        }
        for (machine in fleet.machines) restoreCachedImages(machine)
    }

    /** Gives [machine] back what it held, also when its lease has expired since. */
    fun restoreCachedImages(machine: Machine) {
        if (machine.lease.epoch == 0L) return
        for (image in remembered.remove(machine.name) ?: return) {
            val index = names.images.intern(image)
            machine.images.add(index)
            machine.cachedImages.add(index)
        }
    }

    /** One page at a time, in turn, when it has changed: this must not take the place of what users wait for. */
    fun next(room: TransactionBudget): Write? {
        if (room.ops < 1 || room.bytes < limits.valueBytes) return null
        val pages = (names.machines.size + pageSize - 1) / pageSize
        if (pages == 0 || context.steady - writtenAt < maxOf(PAGE_MS, ALL_PAGES_MS / pages)) return null
        writtenAt = context.steady
        val page = nextPage % pages
        nextPage = page + 1
        val value = value(page)
        val wasInherited = inheritedPages.remove(page)
        if (!wasInherited && value == (writtenPages[page] ?: EMPTY)) return removalBeyond(pages)
        writtenPages[page] = value
        return Write(listOf(Change("$KEY/$page", value)), onRefused = { writtenPages.remove(page) }) {}
    }

    /** Removes one of the inherited pages after the last of ours. */
    private fun removalBeyond(pages: Int): Write? {
        val page = inheritedPages.ceiling(pages) ?: return null
        inheritedPages.remove(page)
        return Write(listOf(Change("$KEY/$page", null)), onRefused = {}) {}
    }

    private fun value(page: Int): Map<String, Any?> {
        val builder = PageBuilder()
        for (id in page * pageSize until minOf((page + 1) * pageSize, names.machines.size)) {
            val machine = fleet.find(names.machines.name(id)) ?: continue
            if (machine.cachedImages.isEmpty() || machine.state != Machine.State.UP) continue
            if (!builder.add(machine)) break
        }
        return builder.value()
    }

    /** Collects machines while a value can hold them; images are named once and referred to by their index. */
    private inner class PageBuilder {
        private val images = LinkedHashMap<Int, Int>()
        private val held = LinkedHashMap<String, List<Long>>()
        private var size = VALUE_BYTES

        /** False if there is no room for [machine]. */
        fun add(machine: Machine): Boolean {
            val newImages = machine.cachedImages.filter { it !in images }
            val newBytes = newImages.sumOf { EncodedSize.of(names.images.name(it)) + 1 }
            size += EncodedSize.of(machine.name) + ROW_BYTES + machine.cachedImages.size * INDEX_BYTES + newBytes
            if (size > limits.valueBytes) return false
            val indices = machine.cachedImages.map { image -> images.getOrPut(image) { images.size }.toLong() }
            held[machine.name] = listOf(machine.lease.epoch) + indices
            return true
        }

        fun value(): Map<String, Any?> = mapOf(IMAGES to images.keys.map(names.images::name), HELD to held)
    }

    companion object {
        const val KEY = "fleet/images"
        private const val ALL_PAGES_MS = 3000L
        private const val PAGE_MS = 500L
        private const val MACHINE_BYTES = 128

        // What a value, the row of a machine beside its name, and an image's index in it take at the most.
        private const val VALUE_BYTES = 64
        private const val ROW_BYTES = 12
        private const val INDEX_BYTES = 6
        private const val IMAGES = "images"
        private const val HELD = "held"
        private val EMPTY = mapOf<String, Any?>(IMAGES to emptyList<String>(), HELD to emptyMap<String, Any?>())
    }
}
