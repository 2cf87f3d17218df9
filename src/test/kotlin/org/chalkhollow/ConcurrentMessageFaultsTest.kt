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
 * Messages of workers and users that are held up or come in the wrong order, beside other faults; every rule is checked
 * after each step.
 */
class ConcurrentMessageFaultsTest {
    // Cancellations once travelled only in answers to heartbeats: nobody has any use for what runs until then.
    @Test
    fun `what is cancelled stops at once, not with the next heartbeat`() {
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
    fun `cancellations, queries and repeated submissions coincide with the ends of jobs`(seed: Long) {
        val scenario = FaultScenario(seed)
        scenario.users.cancelAtEndProbability = 0.6
        scenario.begin(jobs = 60, longJobs = 3)
        scenario.at(START_MS) { scenario.users.sendUnusualRequests(60_000) }
        scenario.runToEnd(START_MS + 70_000, checksStarvation = false) // most are called off at their end
    }

    @ParameterizedTest
    @CsvSource("1,8000", "2,16000", "3,22000", "4,16000", "418,22000")
    fun `commands and answers are held up for seconds, and machines hang and go on`(seed: Long, leaseMs: Long) {
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
    fun `heartbeats are held back until a new leader has acted`(seed: Long, leaseMs: Long) {
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
    fun `old heartbeats come after newer ones, also of earlier epochs and attempts`(seed: Long, leaseMs: Long) {
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
     * A new leader gets a heartbeat of a machine's earlier epoch, then an old one of this epoch, then the machine's
     * own.
     */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `old heartbeats of two epochs reach a new leader before the machine's own`(seed: Long) {
        val scenario = FaultScenario(seed)
        scenario.simulation.withReliableNetwork()
        scenario.begin(jobs = 0, longJobs = 6)
        scenario.clock.runUntil(15_000)
        val machine = scenario.busy().maxBy { it.activeTasks().size }
        val first = machine.captureHeartbeat()
        machine.reboot()
        val second = machine.captureHeartbeat()
        scenario.clock.runUntil(START_MS)
        assertTrue(machine.activeTasks().isNotEmpty(), "nothing began there again")
        scenario.cutOff(machine, 3500, deliversLater = false)
        scenario.leader()?.crash()

        fun onceLed() {
            val leader = scenario.leader() ?: return scenario.clock.after(20) { onceLed() }
            scenario.clock.after(250) {
                first(leader)
                second(leader)
            }
        }
        scenario.clock.after(500) { onceLed() }
        scenario.clock.runUntil(START_MS + 30_000)
        scenario.assertRulesHold()
    }
}
