package org.chalkhollow.core.operations

import org.chalkhollow.simulation.electedSimulation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The status that operators get from the leader and from followers. */
class StatusReportTest {
    private val simulation = electedSimulation(1)
    private val leader = simulation.nodes.single { it.leads }

    @Test
    fun `a follower reports the leader and the controllers' versions, but nothing about the cluster`() {
        val follower = simulation.nodes.first { !it.leads }
        val status = checkNotNull(follower.status()) { "follower is not running" }
        assertEquals(
            StatusView(follower.label, false, leader.label, status.fencingToken, false),
            status.withoutControllers(),
        )
        assertEquals(simulation.nodes.map { it.label }.toSet(), status.controllers.map { it.label }.toSet())
        assertEquals(checkNotNull(leader.status()).fencingToken, status.fencingToken)
    }

    private fun StatusView.withoutControllers() = copy(controllers = emptyList(), allNew = false)

    @Test
    fun `the leader reports jobs, teams and machines`() {
        val id = simulation.users.submit { it.copy(tasks = 3, types = null, zone = null, expectedS = 100.0) }
        simulation.clock.runUntil(simulation.clock.timeMs + 60_000)
        val status = checkNotNull(leader.status()) { "leader is not running" }
        assertTrue(status.leads && status.ready)
        assertEquals(leader.label, status.leader)
        assertEquals(1 to 1, status.jobsKnown to status.jobsOpen)
        assertEquals(1, status.classes.single().jobs)
        assertEquals(simulation.settings.teams.map { it.name }, status.teams.map { it.name })
        val machines = status.machines.groupBy { it.state }.mapValues { (_, views) -> views.sumOf { it.count } }
        assertNotNull(machines["busy"], "$machines")
        assertTrue(status.teams.any { it.cpus > 0 })
        assertEquals(id, checkNotNull(leader.jobStatus(id)).id)
    }
}
