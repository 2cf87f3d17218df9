package org.chalkhollow.core.storage

import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.fleet.ImageLocations
import org.chalkhollow.core.fleet.StaticMachines
import org.chalkhollow.core.jobSpec
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.model.WorkerHeartbeat
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.StateLimits
import org.chalkhollow.simulation.Simulation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Guards against records that are never written because the value limit is larger than a transaction. Such a record
 * waited for a transaction with enough space, and a job's record held up all submissions after it.
 */
class RecordSizeTest {
    private val limits = StateLimits(rps = 80.0, writeRps = 20.0, valueBytes = 256 * 1024, txnOps = 12)
    private val context = CoreContext(1).also { it.now = Now(0, 0) }
    private val names = Interners()
    private val staticMachines = StaticMachines(context, limits)

    private fun keysWrittenBy(producer: WriteProducer): List<String> =
        TransactionComposer(context, listOf(producer)).collectWrites(11).flatMap { it.changes }.map { it.key }

    @Test
    fun `the names of static machines are written`() {
        staticMachines.start(1)
        staticMachines.onMachinesListed((1..9000).map { "n-" + it * 7919L % 1_000_003 }.toSet())
        assertEquals(listOf(StaticMachines.KEY), keysWrittenBy(staticMachines::next))
    }

    @Test
    fun `image locations are written`() {
        val settings = Simulation(1).settings
        val fleet = Fleet(context, names, settings, OperatorSettings(), "a", staticMachines).also { it.start(1) }
        val locations = ImageLocations(context, names, limits, fleet).also { it.start() }
        val image = names.images.intern("i")
        for (number in 1..3000) {
            val name = "n-$number"
            val heartbeat = WorkerHeartbeat(name, name, "small", "east", false, 1, 1, 1, null, emptyList())
            assertNotNull(fleet.observe(heartbeat)?.also { it.cachedImages.add(image) })
        }
        context.now = Now(5000, 5000)
        assertEquals(listOf("${ImageLocations.KEY}/0"), keysWrittenBy(locations::next))
    }

    @Test
    fun `a job whose record no transaction takes is not accepted, and the next one is written`() {
        val jobs = JobTable(context, names, limits)
        val longNames = List(64) { "\u00e9".repeat(198) + it }
        val large = jobSpec("j-1").copy(types = longNames)
        assertFalse(jobs.recordFits(large))
        val fitting = jobSpec("j-2").copy(types = longNames.take(20))
        assertTrue(jobs.recordFits(fitting))
        jobs.accept(fitting, onRejected = {}) {}
        assertEquals(listOf("job/j-2"), keysWrittenBy(jobs.urgentWrites::next))
    }
}
