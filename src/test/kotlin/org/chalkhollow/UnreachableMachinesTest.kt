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

/** Guards against tasks that are placed on machines whose heartbeats arrive although they receive nothing. */
class UnreachableMachinesTest {
    /** Checks that an unreachable machine gets no tasks, with [crash] after a change of leader. */
    private fun checkUnreachableMachine(seed: Long, crash: Boolean, heartbeatMs: Long) {
        val options = OperatorSettings(maxIdleS = 900.0)
        val simulation = Simulation(seed, options, leaseMs = 22_000, heartbeatMs = heartbeatMs).withReliableNetwork()
        simulation.begin(0, 1, machines = 0)
        simulation.addSpotMachines(4, listOf("east"))
        simulation.clock.runUntil(15_000)
        val unreachable = simulation.cloud.workers.first()
        // Without a crash, only the leader cannot reach the machine. The followers redirect it to the leader, which
        // thus gets its heartbeats about as often as those of other machines.
        for (node in simulation.nodes.filter { crash || it.leads }) {
            simulation.network.cutOneWay(node.label, unreachable.name, 300_000)
        }
        if (crash) simulation.clock.after(3000) { simulation.nodes.filter { it.leads }.forEach { it.crash() } }
        simulation.clock.runUntil(60_000)
        var commandsToUnreachable = 0
        simulation.onEffect = { _, _, effect ->
            val command = effect as? Effect.WorkerCommand
            if (command?.address == unreachable.name && command.commands.isNotEmpty()) commandsToUnreachable++
        }
        simulation.users.submit { it.anywhere().copy(id = "j-1", tasks = 13, expectedS = 5.0) }
        // Enough time for two placement rounds and the user's next poll, but not for giving up a machine first.
        simulation.clock.runUntil(90_000)
        assertEquals(emptyList<String>(), simulation.rules.violations)
        assertEquals(0, commandsToUnreachable, "seed $seed: commands were sent to an unreachable machine")
        val pending = simulation.rules.unfinishedJobs()
        assertEquals(1, simulation.rules.doneCount, "a job waits for an unreachable machine: $pending")
    }

    /**
     * A worker that gets no responses sends heartbeats about as often as one with an interval of 4 s. An earlier
     * version confused the two.
     */
    @ParameterizedTest
    @ValueSource(longs = [2000, 4000, 9000])
    fun `an unreachable machine is detected at any heartbeat interval, also by a new leader`(heartbeatMs: Long) {
        for (seed in 1L..5L) {
            for (crash in listOf(false, true)) checkUnreachableMachine(seed, crash, heartbeatMs)
        }
    }

    /**
     * A machine whose heartbeats arrive although it receives nothing looks healthy, but tasks placed on it would never
     * start.
     */
    @Test
    fun `an unreachable machine gets no tasks and is deleted`() {
        val simulation = Simulation(3, OperatorSettings(maxIdleS = 900.0))
        simulation.withReliableNetwork()
        simulation.begin(0, 1, machines = 0)
        simulation.addSpotMachines(4, listOf("east"))
        simulation.clock.runUntil(15_000)
        val unreachable = simulation.cloud.workers.first()
        for (node in simulation.nodes) simulation.network.cutOneWay(node.label, unreachable.name, 300_000)
        simulation.clock.runUntil(40_000)
        simulation.users.submit {
            it.anywhere().copy(
                id = "j-1",
                tasks = 13,
                expectedS = 5.0,
            )
        }
        val submittedAtMs = simulation.clock.timeMs
        simulation.clock.runUntil(submittedAtMs + 25_000)
        assertEquals(emptyList<String>(), simulation.rules.violations)
        assertEquals(
            1,
            simulation.rules.doneCount,
            "a job waits for an unreachable machine: ${simulation.rules.unfinishedJobs()}",
        )
        simulation.clock.runUntil(120_000)
        assertTrue(
            simulation.cloud.workers.none { it.name == unreachable.name },
            "the unreachable machine is still rented",
        )
    }
}
