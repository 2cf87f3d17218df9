package org.chalkhollow

import org.chalkhollow.model.Priority
import org.chalkhollow.model.Resources
import org.chalkhollow.simulation.FaultScenario
import org.chalkhollow.simulation.FaultScenario.Companion.START_MS
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource

/**
 * Guards against rules that break when faults of machines coincide with others. Every rule is checked after each step.
 */
class ConcurrentMachineFaultsTest {
    @ParameterizedTest
    @CsvSource("1,8000,true", "2,16000,false", "3,22000,true", "4,22000,false")
    fun `rules hold when the leader changes with a team at its limit, machines cut off and jobs cancelled`(
        seed: Long,
        leaseMs: Long,
        holdsMessages: Boolean,
    ) {
        val scenario = FaultScenario(seed, leaseMs)
        scenario.begin(jobs = 8, longJobs = 0)
        val ids = ArrayList<String>()
        repeat(5) {
            scenario.at(6000L + it * 200) {
                ids.add(
                    scenario.users.submit { j ->
                        scenario.longJob(j, "red").copy(tasks = 4)
                    },
                )
            }
        }
        scenario.at(START_MS) {
            scenario.busy().take(4).forEach { scenario.cutOff(it, leaseMs - 4000 + 6000 * (seed % 3), holdsMessages) }
        }
        scenario.at(START_MS + 500) { scenario.crashLeader(3000) }
        scenario.at(START_MS + 300 + seed % 5 * 700) { ids.take(2).forEach(scenario::cancel) }
        repeat(4) {
            scenario.at(START_MS + 1000 + it * 1500L) {
                scenario.users.submit { j ->
                    scenario.longJob(j, "red").copy(tasks = 5, expectedS = 30.0)
                }
            }
        }
        scenario.at(START_MS + 9000) { ids.drop(2).take(1).forEach(scenario::cancel) }
        scenario.at(START_MS + 14_000) { scenario.crashLeader(2000) }
        scenario.runToEnd(START_MS + 40_000)
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `rules hold when jobs with zone constraints lose machines`(seed: Long) {
        val scenario = FaultScenario(seed)
        scenario.begin(jobs = 10, longJobs = 3)
        repeat(3) { i ->
            scenario.at(7000L + i * 300) {
                scenario.users.submit {
                    scenario
                        .longJob(
                            it,
                        ).copy(workload = "bound", tasks = 5, zone = "east", expectedS = 50.0)
                }
            }
            scenario.at(7100L + i * 300) {
                scenario.users.submit {
                    scenario
                        .longJob(
                            it,
                        ).copy(workload = "together", tasks = 4, together = true, expectedS = 50.0)
                }
            }
            scenario.at(7200L + i * 300) {
                scenario.users.submit {
                    scenario
                        .longJob(
                            it,
                        ).copy(workload = "spread", tasks = 5, spread = true, expectedS = 50.0)
                }
            }
        }
        scenario.at(START_MS) {
            scenario.cloud.workers
                .filter {
                    it.present && it.zone == "east" && scenario.clock.chance(0.7)
                }.forEach { scenario.cloud.failMachine(it.name) }
        }
        scenario.at(START_MS + 8000) {
            scenario.cloud.workers
                .filter {
                    it.present && it.zone == "west" && scenario.clock.chance(0.5)
                }.forEach { scenario.cutOff(it, 20_000, true) }
        }
        scenario.at(START_MS + 12_000) { scenario.crashLeader(2000) }
        scenario.at(START_MS + 13_000) {
            scenario.cloud.workers
                .filter {
                    it.present && it.zone == "east" && scenario.clock.chance(0.5)
                }.forEach { scenario.cloud.failMachine(it.name) }
        }
        scenario.runToEnd(START_MS + 40_000)
    }

    @ParameterizedTest
    @CsvSource("1,8000", "2,16000", "3,22000", "4,16000")
    fun `rules hold when machines that reach no controller receive direct commands`(seed: Long, leaseMs: Long) {
        val scenario = FaultScenario(seed, leaseMs)
        scenario.begin()
        scenario.at(START_MS) { scenario.busy().take(4).forEach { it.blockConnections(leaseMs + 8000) } }
        scenario.at(START_MS + 1000) { scenario.cancelRunningJobs(3) }
        scenario.at(START_MS + 3000) { scenario.crashLeader(3000) }
        scenario.at(START_MS + 6000) { scenario.cancelRunningJobs(1) }
        scenario.at(
            START_MS + 20_000,
        ) {
            scenario.cloud.workers
                .filter { it.present && scenario.clock.chance(0.4) }
                .forEach { it.blockConnections(5000) }
        }
        scenario.runToEnd(START_MS + leaseMs + 20_000)
    }

    @ParameterizedTest
    @CsvSource("1,8000", "2,16000", "3,22000")
    fun `rules hold when a zone with workers and a controller is cut off for longer than the lease`(
        seed: Long,
        leaseMs: Long,
    ) {
        val scenario = FaultScenario(seed, leaseMs)
        scenario.begin()
        scenario.at(START_MS) { scenario.faults.cutZone("west", leaseMs + 12_000) }
        scenario.at(START_MS + 500) { scenario.cancelRunningJobs(2) }
        scenario.at(START_MS + leaseMs / 2) { scenario.cancelRunningJobs(2) }
        scenario.runToEnd(START_MS + leaseMs + 20_000)
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `rules hold when high and low priority work exceeds the capacity and the network is slow`(seed: Long) {
        val scenario = FaultScenario(seed)
        scenario.network.lateProbability = 0.02
        scenario.network.lossProbability = 0.01
        scenario.begin(jobs = 40, longJobs = 4)
        repeat(14) { i ->
            scenario.at(START_MS + i * 2500L) {
                scenario.users.submit {
                    scenario.longJob(it).copy(
                        workload =
                            if (i % 2 ==
                                0
                            ) {
                                "urgent"
                            } else {
                                "wide"
                            },
                        priority = if (i % 2 == 0) Priority.HIGH else Priority.BEST_EFFORT,
                        tasks = 8,
                        taskResources = Resources(3.0, 0.0, 4.0),
                        expectedS = 15.0,
                        checkpointS = 2.0,
                        saveS =
                            1.0 + seed % 5,
                    )
                }
            }
        }
        scenario.at(START_MS + 20_000) { scenario.crashLeader(3000) }
        scenario.at(START_MS + 25_000) { scenario.cancelRunningJobs(2) }
        scenario.at(START_MS + 70_000) {
            scenario.network.lateProbability = 0.002
            scenario.network.lossProbability = 0.002
        }
        scenario.runToEnd(START_MS + 100_000)
    }

    @ParameterizedTest
    @CsvSource("1,8000,true", "2,16000,false", "3,22000,true", "4,22000,false")
    fun `rules hold when the leader crashes while busy machines are cut off or receive nothing`(
        seed: Long,
        leaseMs: Long,
        receivesNothing: Boolean,
    ) {
        val scenario = FaultScenario(seed, leaseMs)
        scenario.begin()
        scenario.at(START_MS - 200) {
            scenario.busy().forEachIndexed { i, worker ->
                if (i % 2 == 0) return@forEachIndexed
                if (receivesNothing) {
                    scenario.cutOffResponses(worker, leaseMs + 9000)
                } else {
                    scenario.cutOff(
                        worker,
                        if (i % 4 ==
                            1
                        ) {
                            leaseMs - 3000
                        } else {
                            leaseMs + 9000
                        },
                        true,
                    )
                }
            }
        }
        scenario.at(START_MS) { scenario.crashLeader(5000) }
        scenario.at(START_MS + 2500) { scenario.cancelRunningJobs(2) }
        scenario.at(START_MS + 7000) { scenario.crashLeader(1000) }
        scenario.runToEnd(START_MS + leaseMs + 25_000)
    }
}
