package org.chalkhollow.core.placement

import org.chalkhollow.core.acceptDurably
import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.fleet.StaticMachines
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.core.serviceSpec
import org.chalkhollow.model.Resources
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.simulation.Simulation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Checks where headroom for services is reserved. */
class ReplicaPlacementTest {
    private val context = CoreContext(1).also { it.now = Now(0, 0) }
    private val settings = Simulation(1).settings
    private val names = Interners().apply { teams.intern("t") }
    private val jobs = JobTable(context, names, settings.stateLimits)
    private val fleet =
        Fleet(context, names, settings, OperatorSettings(), "a", StaticMachines(context, settings.stateLimits))
    private val replicaPlacement = ReplicaPlacement(jobs)

    private fun service(id: String, tasks: Int): OpenJob =
        jobs.acceptDurably(serviceSpec(id, tasks).copy(spread = true, spotAllowed = false))

    private fun machine(name: String, zone: Int, cpus: Double): Machine =
        fleet.getOrAdd(name).also {
            it.describe(Machine.UNKNOWN, zone, isSpot = false)
            it.roundFreeCapacity = Resources(cpus, 0.0, 64.0)
        }

    @Test
    fun `headroom is reserved in every zone, first on machines that have the image, then on the fullest`() {
        val job = service("j-1", 6)
        service("j-2", 4)
        val fullest = machine("n-1", 0, 2.0)
        val fuller = machine("n-2", 0, 4.0)
        val withImage = machine("n-3", 0, 2.0).also { it.images.add(job.image) }
        val otherZone = machine("n-4", 1, 8.0)
        val machines = listOf(fullest, fuller, withImage, otherZone)
        assertEquals(6.0, replicaPlacement.reserveHeadroom(machines))
        assertEquals(listOf(1.0, 4.0, 0.0, 5.0), machines.map { it.roundFreeCapacity.cpus })
        replicaPlacement.releaseHeadroom()
        assertEquals(listOf(2.0, 4.0, 2.0, 8.0), machines.map { it.roundFreeCapacity.cpus })
        val spot = machine("n-5", 0, 1.0).also { it.describe(it.type, it.zone, isSpot = true) }
        replicaPlacement.reserveHeadroom(listOf(spot))
        assertEquals(1.0, spot.roundFreeCapacity.cpus, "its services may not use spot machines")
    }
}
