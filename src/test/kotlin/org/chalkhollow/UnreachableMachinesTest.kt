package org.chalkhollow

import org.chalkhollow.core.common.Effect
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.addSpotMachines
import org.chalkhollow.simulation.anywhere
import org.chalkhollow.simulation.withReliableNetwork
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Machines whose heartbeats arrive while nothing reaches them. */
class UnreachableMachinesTest {
    /** Jobs, commands and rules of a run in which one machine hears nothing, after a crash of the leader or not. */
    private fun checkDeafMachine(seed: Long, crash: Boolean, heartbeatMs: Long) {
        val options = OperatorSettings(maxIdleS = 900.0)
        val simulation = Simulation(seed, options, leaseMs = 22_000, heartbeatMs = heartbeatMs).withReliableNetwork()
        simulation.begin(0, 1, machines = 0)
        simulation.addSpotMachines(4, listOf("east"))
        simulation.clock.runUntil(15_000)
        val deaf = simulation.cloud.workers.first()
        // Where others still send it back to the leader, its heartbeats come to the leader about as often as those of
        // other machines do.
        for (node in simulation.nodes.filter { crash || it.leads }) {
            simulation.network.cutOneWay(node.label, deaf.name, 300_000)
        }
        if (crash) simulation.clock.after(3000) { simulation.nodes.filter { it.leads }.forEach { it.crash() } }
        simulation.clock.runUntil(60_000)
        var sentToDeaf = 0
        simulation.onEffect = { _, _, effect ->
            val command = effect as? Effect.WorkerCommand
            if (command?.address == deaf.name && command.commands.isNotEmpty()) sentToDeaf++
        }
        simulation.users.submit { it.anywhere().copy(id = "j-1", tasks = 13, expectedS = 5.0) }
        // Tasks that were placed in two rounds and a user's next poll, and no machine that has to be given up first.
        simulation.clock.runUntil(90_000)
        assertEquals(emptyList<String>(), simulation.rules.violations)
        assertEquals(0, sentToDeaf, "seed $seed: commands went to a machine that hears nothing")
        val waiting = simulation.rules.pending()
        assertEquals(1, simulation.rules.doneCount, "a job waits for a machine that hears nothing: $waiting")
    }

    // Heartbeats every 4 s come at the pace of a worker that gets no answer; an earlier version took the one for the
    // other.
    @ParameterizedTest
    @ValueSource(longs = [2000, 4000, 9000])
    fun `a machine that hears nothing is noticed at any heartbeat interval, also by a new leader`(heartbeatMs: Long) {
        for (seed in 1L..5L) {
            for (crash in listOf(false, true)) checkDeafMachine(seed, crash, heartbeatMs)
        }
    }

    // A machine whose heartbeats arrive while nothing reaches it looks alive; its tasks would wait for ever for a
    // start.
    @Test
    fun `a machine that hears nothing is given no work, and is returned`() {
        val simulation = Simulation(3, OperatorSettings(maxIdleS = 900.0))
        simulation.withReliableNetwork()
        simulation.begin(0, 1, machines = 0)
        simulation.addSpotMachines(4, listOf("east"))
        simulation.clock.runUntil(15_000)
        val deaf = simulation.cloud.workers.first()
        for (node in simulation.nodes) simulation.network.cutOneWay(node.label, deaf.name, 300_000)
        simulation.clock.runUntil(40_000)
        simulation.users.submit {
            it.anywhere().copy(
                id = "j-1",
                tasks = 13,
                expectedS = 5.0,
            )
        }
        val acceptedBy = simulation.clock.time
        simulation.clock.runUntil(acceptedBy + 25_000)
        assertEquals(emptyList<String>(), simulation.rules.violations)
        assertEquals(
            1,
            simulation.rules.doneCount,
            "a job waits for a machine that hears nothing: ${simulation.rules.pending()}",
        )
        simulation.clock.runUntil(120_000)
        assertTrue(simulation.cloud.workers.none { it.name == deaf.name }, "it is still paid for")
    }
}
