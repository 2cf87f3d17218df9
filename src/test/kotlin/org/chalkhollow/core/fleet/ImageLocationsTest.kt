package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.storage.TransactionBudget
import org.chalkhollow.model.KeyValue
import org.chalkhollow.model.WorkerHeartbeat
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.simulation.Simulation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** A worker keeps its image cache when its lease expires, so the cached images stay known in its next epoch. */
class ImageLocationsTest {
    private val context = CoreContext(1).also { it.now = Now(10_000, 10_000) }
    private val settings = Simulation(1).settings
    private val names = Interners()
    private val fleet =
        Fleet(
            context,
            names,
            settings,
            OperatorSettings(),
            "a",
            StaticMachines(context, settings.stateLimits),
        ).also {
            it.start(1)
        }
    private val locations = ImageLocations(context, names, settings.stateLimits, fleet)

    private fun heartbeat(epoch: Long): Machine =
        checkNotNull(
            fleet.observe(WorkerHeartbeat("n-1", "n-1", "small", "east", false, epoch, 1, 1, null, emptyList())),
        )

    @Test
    fun `images that ran stay known in the next epoch, images being fetched do not`() {
        val machine = heartbeat(epoch = 1)
        machine.images.add(7)
        machine.images.add(8)
        machine.cachedImages.add(7)
        assertEquals(machine, heartbeat(epoch = 2))
        assertEquals(setOf(7), machine.images)
        assertEquals(setOf(7), machine.cachedImages)
    }

    // Guards against locations that are never stored: a machine with too many images hid those after it in its page.
    @Test
    fun `a machine whose images do not fit into a page does not hide the machines after it`() {
        locations.start()
        for (number in 1..3) {
            val name = "n-$number"
            val machine = fleet.observe(WorkerHeartbeat(name, name, "small", "east", false, 1, 1, 1, null, emptyList()))
            val images = if (number == 2) 100 else 1
            repeat(images) { machine?.cachedImages?.add(names.images.intern("$it-" + "i".repeat(190))) }
        }
        context.now = Now(context.now.steady + 5000, context.now.wall + 5000)
        val write = checkNotNull(locations.next(TransactionBudget(10, 40 * 1024)))
        val held = checkNotNull(write.changes.single().value)["held"] as Map<*, *>
        assertEquals(setOf("n-1", "n-3"), held.keys)
    }

    @Test
    fun `a new leader knows the images that a machine cached in an earlier epoch`() {
        val value =
            mapOf(
                "images" to listOf("i", "k"),
                "held" to mapOf("n-1" to listOf(3L, 1L), "n-2" to listOf(1L, 0L)),
            )
        locations.load(KeyValue(ImageLocations.KEY + "/0", value, 1))
        val machine = heartbeat(epoch = 4)
        locations.restoreCachedImages(machine)
        assertTrue(names.images.intern("k") in machine.images)
        assertTrue(names.images.intern("k") in machine.cachedImages)
        assertFalse(names.images.intern("i") in machine.images)
    }
}
