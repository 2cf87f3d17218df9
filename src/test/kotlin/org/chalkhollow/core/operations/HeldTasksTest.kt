package org.chalkhollow.core.operations

import org.chalkhollow.core.attempts.DispatchMarkerRecord
import org.chalkhollow.core.cluster.HoldReason
import org.chalkhollow.core.common.Effect
import org.chalkhollow.runtime.Metrics
import org.chalkhollow.simulation.asBatch
import org.chalkhollow.simulation.electedSimulation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against tasks that wait beside a machine with capacity while log, metrics and job report say nothing. */
class HeldTasksTest {
    private val simulation = electedSimulation(1)
    private val leader = simulation.nodes.single { it.leads }
    private val logged = ArrayList<String>()

    init {
        simulation.onEffect = { _, _, effect -> if (effect is Effect.LogEvent) logged.add(effect.text) }
    }

    private fun runFor(ms: Long) = simulation.clock.runUntil(simulation.clock.timeMs + ms)

    private fun held(reason: HoldReason) = leader.gauges.held.getValue(reason)

    @Test
    fun `tasks whose dispatch marker is rejected are reported until they start`() {
        simulation.state.rejectedPrefix = DispatchMarkerRecord.PREFIX
        val id = simulation.users.submit { it.asBatch("red", 3, 1.0, 200.0) }
        runFor(40_000)
        assertEquals(3, held(HoldReason.MARKER_REJECTED))
        assertEquals(listOf(HoldReason.MARKER_REJECTED.text), leader.jobStatus(id)?.waitsFor)
        val line = "chalkhollow_tasks_held{reason=\"marker_rejected\"} 3"
        assertTrue(line in Metrics().text(leader.gauges).lines())
        val expected = Regex("3 tasks of $id have waited for \\d+ s .*${HoldReason.MARKER_REJECTED.text}")
        assertTrue(logged.any(expected::matches), "$logged")

        simulation.state.rejectedPrefix = null
        runFor(20_000)
        assertEquals(
            0,
            leader.gauges.held.values
                .sum(),
        )
        assertEquals(emptyList<String>(), leader.jobStatus(id)?.waitsFor)
        logged.clear()
        runFor(40_000)
        assertTrue(logged.none { "have waited" in it }, "$logged")
    }

    @Test
    fun `tasks for which no placement round runs, or whose marker is not written, are reported in an outage`() {
        val limited = simulation.users.submit { it.asBatch("red", 25, 2.0, 300.0) }
        runFor(40_000)
        val inFlight = simulation.users.submit { it.asBatch("blue", 2, 1.0, 300.0) }
        while (leader.gauges.held.getValue(HoldReason.MARKER_IN_FLIGHT) != 2) runFor(1)
        simulation.state.outage(20_000)
        runFor(18_000)
        assertTrue(leader.leads, "the leader stepped down")
        assertEquals(5, held(HoldReason.NO_ROUND))
        assertEquals(2, held(HoldReason.MARKER_IN_FLIGHT))
        for ((id, reason) in listOf(limited to HoldReason.NO_ROUND, inFlight to HoldReason.MARKER_IN_FLIGHT)) {
            val waitsFor = checkNotNull(leader.jobStatus(id)).waitsFor
            assertTrue(waitsFor.first().startsWith("the state service takes no writes"), "$waitsFor")
            assertTrue(reason.text in waitsFor, "$waitsFor")
        }
    }

    @Test
    fun `a team at its limit is reported as the reason`() {
        simulation.users.submit { it.asBatch("red", 20, 2.0, 300.0) }
        runFor(40_000)
        val id = simulation.users.submit { it.asBatch("red", 5, 2.0, 300.0) }
        runFor(5000)
        assertEquals(5, held(HoldReason.TEAM_LIMIT))
        assertEquals(HoldReason.TEAM_LIMIT.text, leader.jobStatus(id)?.waitsFor?.first())
    }
}
