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
 * Owns the stored record of which machines have cached which images. Heartbeats do not contain it, and without it a new
 * leader would start tasks on machines that have to fetch an image again that others have cached. It is a hint: losing
 * it costs time, never correctness. The controller loads and stores it, and `HeartbeatHandler` restores it for each
 * machine that sends heartbeats.
 */
class ImageLocations(
    private val context: CoreContext,
    private val names: Interners,
    private val limits: StateLimits,
    private val fleet: Fleet,
) {
    /** Stored images of machines that have not sent a heartbeat yet, by machine name. */
    private val imagesByUnseenMachine = HashMap<String, List<String>>()
    private var lastWriteAtMs = 0L
    private var nextPage = 0

    /** A page is one value; each machine takes about [TYPICAL_MACHINE_BYTES] of it. */
    private val machinesPerPage = maxOf(1, limits.recordBytes / TYPICAL_MACHINE_BYTES)
    private val writtenPages = HashMap<Int, Map<String, Any?>>()

    /** Pages that an earlier leader wrote, perhaps with another page size; they are rewritten or removed. */
    private val inheritedPages = TreeSet<Int>()

    fun start() {
        imagesByUnseenMachine.clear()
        writtenPages.clear()
        inheritedPages.clear()
        lastWriteAtMs = context.steady
    }

    fun load(row: KeyValue) {
        val page = row.key.substringAfterLast('/').toIntOrNull()
        if (page != null) inheritedPages.add(page)
        val fields = Fields.of(row.value, row.key)
        val images = fields.texts(IMAGES)
        for ((machine, value) in Fields.of(fields.map[HELD], row.key).map) {
            val indices = (value as? List<*>)?.mapNotNull { (it as? Long)?.toInt() } ?: continue
            // The first number is the epoch at the time of the write; it is ignored. Earlier versions took a new epoch
            // for an empty cache.
            imagesByUnseenMachine[machine] = indices.drop(1).mapNotNull(images::getOrNull)
        }
        for (machine in fleet.machines) restoreCachedImages(machine)
    }

    /** Restores the stored images of [machine], even if its lease has expired since they were stored. */
    fun restoreCachedImages(machine: Machine) {
        if (machine.lease.epoch == 0L) return
        for (image in imagesByUnseenMachine.remove(machine.name) ?: return) {
            val index = names.images.intern(image)
            machine.images.add(index)
            machine.cachedImages.add(index)
        }
    }

    /**
     * Returns the write of one page, in turn, if it is due and the page has changed; else null. Only one page is
     * written at a time, since these writes must not displace those that users wait for.
     */
    fun next(budget: TransactionBudget): Write? {
        if (budget.ops < 1 || budget.bytes < limits.recordBytes) return null
        val pages = (names.machines.size + machinesPerPage - 1) / machinesPerPage
        if (pages == 0 || context.steady - lastWriteAtMs < maxOf(MIN_INTERVAL_MS, ALL_PAGES_MS / pages)) return null
        lastWriteAtMs = context.steady
        val page = nextPage % pages
        nextPage = page + 1
        val value = pageValue(page)
        val wasInherited = inheritedPages.remove(page)
        if (!wasInherited && value == (writtenPages[page] ?: EMPTY_PAGE)) return removeInheritedBeyond(pages)
        writtenPages[page] = value
        return Write(listOf(Change("$KEY/$page", value)), onRejected = { writtenPages.remove(page) }) {}
    }

    /** Removes one inherited page beyond the [pages] in use; null if there is none. */
    private fun removeInheritedBeyond(pages: Int): Write? {
        val page = inheritedPages.ceiling(pages) ?: return null
        inheritedPages.remove(page)
        return Write(listOf(Change("$KEY/$page", null)), onRejected = {}) {}
    }

    private fun pageValue(page: Int): Map<String, Any?> {
        val builder = PageBuilder()
        for (id in page * machinesPerPage until minOf((page + 1) * machinesPerPage, names.machines.size)) {
            val machine = fleet.find(names.machines.name(id)) ?: continue
            if (machine.cachedImages.isEmpty() || machine.state != Machine.State.UP) continue
            builder.addIfFitting(machine)
        }
        return builder.value()
    }

    /** Collects machines up to the size of a value. Each image is named once and referred to by its index. */
    private inner class PageBuilder {
        private val images = LinkedHashMap<Int, Int>()
        private val indicesByMachine = LinkedHashMap<String, List<Long>>()
        private var bytes = VALUE_OVERHEAD_BYTES

        /** Leaves out a [machine] that does not fit, so that it does not hide those after it. */
        fun addIfFitting(machine: Machine) {
            val newImages = machine.cachedImages.filter { it !in images }
            val newBytes = newImages.sumOf { EncodedSize.of(names.images.name(it)) + 1 }
            val machineBytes = EncodedSize.of(machine.name) + MACHINE_BYTES + machine.cachedImages.size * INDEX_BYTES
            if (bytes + machineBytes + newBytes > limits.recordBytes) return
            bytes += machineBytes + newBytes
            val indices = machine.cachedImages.map { image -> images.getOrPut(image) { images.size }.toLong() }
            indicesByMachine[machine.name] = listOf(machine.lease.epoch) + indices
        }

        fun value(): Map<String, Any?> = mapOf(IMAGES to images.keys.map(names.images::name), HELD to indicesByMachine)
    }

    companion object {
        const val KEY = "fleet/images"
        private const val ALL_PAGES_MS = 3000L
        private const val MIN_INTERVAL_MS = 500L
        private const val TYPICAL_MACHINE_BYTES = 128

        // Upper bounds for an empty value, for a machine's entry without its name, and for an image's index in the
        // entry.
        private const val VALUE_OVERHEAD_BYTES = 64
        private const val MACHINE_BYTES = 12
        private const val INDEX_BYTES = 6
        private const val IMAGES = "images"
        private const val HELD = "held"
        private val EMPTY_PAGE = mapOf<String, Any?>(IMAGES to emptyList<String>(), HELD to emptyMap<String, Any?>())
    }
}
