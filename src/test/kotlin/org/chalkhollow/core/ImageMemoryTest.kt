package org.chalkhollow.core

import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.wire.Row
import org.chalkhollow.wire.WorkerReport
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** A worker keeps its cache when its lease lapses, so what it holds is known in its next session, too. */
class ImageMemoryTest {
    private val context = CoreContext(1).also { it.now = Now(10_000, 10_000) }
    private val settings = Simulation(1).settings
    private val names = Names()
    private val fleet =
        Fleet(
            context,
            names,
            settings,
            OperatorSettings(),
            "a",
            PreProvisionedMachines(context, settings.stateLimits),
        ).also {
            it.start(1)
        }
    private val memory = ImageMemory(context, names, settings.stateLimits, fleet)

    private fun report(session: Long): Machine =
        checkNotNull(
            fleet.observe(WorkerReport("n-1", "n-1", "small", "east", false, session, 1, 1, null, emptyList())),
        )

    @Test
    fun `images that ran stay known in the next session, those on their way do not`() {
        val m = report(session = 1)
        m.images.add(7)
        m.images.add(8)
        m.held.add(7)
        assertEquals(m, report(session = 2))
        assertEquals(setOf(7), m.images)
        assertEquals(setOf(7), m.held)
    }

    @Test
    fun `a new leader knows what a machine held in an earlier session`() {
        val value =
            mapOf(
                "images" to listOf("i", "k"),
                "held" to mapOf("n-1" to listOf(3L, 1L), "n-2" to listOf(1L, 0L)),
            )
        memory.load(Row(ImageMemory.KEY + "/0", value, 1))
        val m = report(session = 4)
        memory.recall(m)
        assertTrue(names.images.intern("k") in m.images)
        assertTrue(names.images.intern("k") in m.held)
        assertFalse(names.images.intern("i") in m.images)
    }
}
