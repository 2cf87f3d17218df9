package org.chalkhollow

import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.Resources
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.anywhere
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against a status that does not name the leader or the reason why a job waits. */
class OperatorStatusTest {
    @Test
    fun `the status names the leader and the reason why a job waits`() {
        val simulation = Simulation(8)
        simulation.begin(0, 1)
        val fillTeamLimit: (JobSpec) -> JobSpec = {
            it.anywhere().copy(
                team = "red",
                tasks = 20,
                taskResources = Resources(2.0, 0.0, 1.0),
                expectedS = 300.0,
            )
        }
        simulation.clock.after(5000) { simulation.users.submit(fillTeamLimit) }
        var secondJob = ""
        simulation.clock.after(40_000) { secondJob = simulation.users.submit(fillTeamLimit) }
        simulation.clock.runUntil(60_000)
        val leader = simulation.nodes.single { it.leads }
        val status = checkNotNull(leader.status())
        assertEquals(leader.label, status.leader)
        assertEquals(40.0, status.teams.first { it.name == "red" }.cpus)
        assertTrue(status.machines.sumOf { it.count } > 4)
        assertEquals("its team is at its limit", leader.jobStatus(secondJob)?.waitsFor?.first())
        assertEquals(null, leader.jobStatus("j-0"))
        assertTrue(simulation.nodes.filter { !it.leads }.all { it.status()?.leader == leader.label })
    }
}
