package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Now
import org.chalkhollow.model.KeyValue
import org.chalkhollow.model.WorkerHeartbeat
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.simulation.Simulation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** A worker keeps its cache when its lease expires, so what it holds is known in its next epoch, too. */
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
    private val memory = ImageLocations(context, names, settings.stateLimits, fleet)

    private fun heartbeat(epoch: Long): Machine =
        checkNotNull(
            fleet.observe(WorkerHeartbeat("n-1", "n-1", "small", "east", false, epoch, 1, 1, null, emptyList())),
        )

    @Test
    fun `images that ran stay known in the next epoch, those on their way do not`() {
        val m = heartbeat(epoch = 1)
        m.images.add(7)
        m.images.add(8)
        m.cachedImages.add(7)
        assertEquals(m, heartbeat(epoch = 2))
        assertEquals(setOf(7), m.images)
        assertEquals(setOf(7), m.cachedImages)
    }

    @Test
    fun `a new leader knows what a machine held in an earlier epoch`() {
        val value =
            mapOf(
                "images" to listOf("i", "k"),
                "held" to mapOf("n-1" to listOf(3L, 1L), "n-2" to listOf(1L, 0L)),
            )
        memory.load(KeyValue(ImageLocations.KEY + "/0", value, 1))
        val m = heartbeat(epoch = 4)
        memory.restoreCachedImages(m)
        assertTrue(names.images.intern("k") in m.images)
        assertTrue(names.images.intern("k") in m.cachedImages)
        assertFalse(names.images.intern("i") in m.images)
    }
}
