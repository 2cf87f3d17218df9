package org.chalkhollow

import org.chalkhollow.model.Resources
import org.chalkhollow.simulation.FaultScenario
import org.chalkhollow.simulation.FaultScenario.Companion.START_MS
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.unconstrained
import org.chalkhollow.simulation.withReliableNetwork
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource

/**
 * Guards against rules that break when delayed, repeated or reordered messages of workers and users coincide with other
 * faults. Every rule is checked after each step.
 */
class ConcurrentMessageFaultsTest {
    /**
     * An earlier version sent stops of cancelled tasks only in responses to heartbeats, so the tasks occupied machines
     * until the next heartbeat.
     */
    @Test
    fun `tasks of a cancelled job stop at once, not with the next heartbeat`() {
        val simulation = Simulation(3, leaseMs = 30_000, heartbeatMs = 9000)
        simulation.withReliableNetwork()
        simulation.begin(0, 1)
        var id = ""
        simulation.clock.after(12_000) {
            id =
                simulation.users.submit {
                    it.unconstrained().copy(
                        tasks = 6,
                        taskResources = Resources(2.0, 0.0, 1.0),
                        expectedS = 300.0,
                    )
                }
        }
        simulation.clock.runUntil(40_000)
        assertTrue(simulation.cloud.workers.sumOf { it.activeTasks().size } == 6)
        simulation.users.cancel(id)
        simulation.clock.runUntil(41_500)
        assertEquals(0, simulation.cloud.workers.sumOf { it.activeTasks().size })
        assertEquals(emptyList<String>(), simulation.rules.violations)
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `rules hold when cancellations, queries and repeated submissions coincide with the ends of jobs`(seed: Long) {
        val scenario = FaultScenario(seed)
        scenario.users.cancelAtEndProbability = 0.6
        scenario.begin(jobs = 60, longJobs = 3)
        scenario.at(START_MS) { scenario.users.sendUnusualRequests(60_000) }
        scenario.runToEnd(START_MS + 70_000, checksStarvation = false) // most jobs are cancelled as they end
    }

    @ParameterizedTest
    @CsvSource("1,8000", "2,16000", "3,22000", "4,16000", "418,22000")
    fun `rules hold when commands and replies are delayed for seconds and machines hang for a while`(
        seed: Long,
        leaseMs: Long,
    ) {
        val scenario = FaultScenario(seed, leaseMs)
        scenario.begin()
        scenario.at(START_MS) { scenario.network.holdProbability = 0.25 }
        for (i in 0L..4L) scenario.at(START_MS + 1000 + i * 9000) { scenario.cancelRunningJobs(1, leaseMs - 2500) }
        scenario.at(START_MS + 15_000) {
            scenario.busy().forEach { if (scenario.clock.chance(0.5)) it.hang(scenario.clock.between(2000, 9000)) }
        }
        scenario.at(START_MS + 22_000) { scenario.crashLeader(2000) }
        scenario.runToEnd(START_MS + 65_000)
    }

    @ParameterizedTest
    @CsvSource("1,8000", "2,16000", "3,22000", "4,16000")
    fun `rules hold when heartbeats are delayed until after a change of leader`(seed: Long, leaseMs: Long) {
        val scenario = FaultScenario(seed, leaseMs)
        scenario.begin()
        for (at in listOf(-4000L, -800L, -100L)) {
            scenario.at(START_MS + at) {
                scenario.cloud.workers.filter { it.present }.forEach { worker ->
                    worker.delayHeartbeat(scenario.clock.between(2500, leaseMs + 12_000))
                }
            }
        }
        scenario.at(START_MS - 50) { scenario.cancelRunningJobs(2) }
        scenario.at(START_MS) { scenario.crashLeader(4000) }
        scenario.at(START_MS + 4000) { scenario.busy().take(2).forEach { scenario.cloud.failMachine(it.name) } }
        scenario.at(START_MS + 9000) { scenario.cancelRunningJobs(1) }
        scenario.runToEnd(START_MS + leaseMs + 20_000)
    }

    @ParameterizedTest
    @CsvSource("1,8000", "2,16000", "3,22000", "4,8000", "322,22000")
    fun `rules hold when old heartbeats arrive after newer ones, also of earlier epochs`(seed: Long, leaseMs: Long) {
        val scenario = FaultScenario(seed, leaseMs)
        scenario.network.copyProbability = 0.05
        scenario.begin()
        for (i in 0L..9L) {
            scenario.at(START_MS + i * 4000) {
                scenario.cloud.workers.filter { it.present && scenario.clock.chance(0.5) }.forEach { worker ->
                    worker.delayHeartbeat(
                        scenario.clock.between(
                            1000,
                            leaseMs * 2,
                        ),
                    )
                }
            }
        }
        scenario.at(START_MS + 5000) { scenario.busy().take(2).forEach { it.reboot() } }
        scenario.at(START_MS + 7000) { scenario.cancelRunningJobs(2) }
        scenario.at(START_MS + 12_000) { scenario.busy().take(2).forEach { scenario.cutOff(it, leaseMs + 5000, true) } }
        scenario.at(START_MS + 16_000) { scenario.crashLeader(2000) }
        scenario.at(START_MS + 30_000) { scenario.busy().take(2).forEach { it.reboot() } }
        scenario.runToEnd(START_MS + 40_000 + leaseMs * 2 + 45_000)
    }

    /**
     * A new leader gets a delayed heartbeat of a machine's earlier epoch, then a delayed one of its current epoch, then
     * a current one. An earlier version then resolved attempts of the previous leader although they ran in the current
     * epoch, and their tasks ran twice.
     */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `no task runs twice when old heartbeats of two epochs reach a new leader first`(seed: Long) {
        val scenario = FaultScenario(seed)
        scenario.simulation.withReliableNetwork()
        scenario.begin(jobs = 0, longJobs = 6)
        scenario.clock.runUntil(15_000)
        val machine = scenario.busy().maxBy { it.activeTasks().size }
        val deliverEarlierEpoch = machine.captureHeartbeat()
        machine.reboot()
        val deliverCurrentEpoch = machine.captureHeartbeat()
        scenario.clock.runUntil(START_MS)
        assertTrue(machine.activeTasks().isNotEmpty(), "no task was started again on the machine")
        scenario.cutOff(machine, 3500, deliversLater = false)
        scenario.leader()?.crash()

        fun deliverToNewLeader() {
            val leader = scenario.leader() ?: return scenario.clock.after(20) { deliverToNewLeader() }
            scenario.clock.after(250) {
                deliverEarlierEpoch(leader)
                deliverCurrentEpoch(leader)
            }
        }
        scenario.clock.after(500) { deliverToNewLeader() }
        scenario.clock.runUntil(START_MS + 30_000)
        scenario.assertRulesHold()
    }
}
