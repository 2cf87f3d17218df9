package org.chalkhollow

import org.chalkhollow.model.Priority
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.asBatch
import org.chalkhollow.simulation.assertRulesHold
import org.chalkhollow.simulation.faultFreeSimulation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.junit.jupiter.params.provider.ValueSource

/** Guards against services and batch work that starve each other when they share machines and quotas. */
class ServicePriorityTest {
    /**
     * How many batch tasks of 2 CPUs each team runs, so that six machines or both teams' limits are full. The service
     * belongs to team red, which may use 40 CPUs.
     */
    enum class FullBy(val redTasks: Int, val blueTasks: Int) {
        OTHER_TEAM(4, 20),
        SAME_TEAM(18, 6),
        TEAM_LIMITS(20, 20),
    }

    @ParameterizedTest
    @EnumSource
    fun `a service starts within 10 s although batch work fills the machines or its team's limit`(full: FullBy) {
        val failures = ArrayList<String>()
        for (seed in 1L..3L) {
            val simulation =
                faultFreeSimulation(
                    seed,
                    maxMachines =
                        if (full ==
                            FullBy.TEAM_LIMITS
                        ) {
                            10
                        } else {
                            6
                        },
                    machines = if (full == FullBy.TEAM_LIMITS) 10 else 6,
                )
            simulation.users.submit { it.asBatch("red", full.redTasks, 2.0, 300.0) }
            simulation.users.submit { it.asBatch("blue", full.blueTasks, 2.0, 300.0) }
            simulation.clock.runUntil(25_000)
            assertEquals(full.redTasks + full.blueTasks, simulation.rules.starts, "the machines are not full")
            val id = simulation.users.submitService { it.copy(team = "red", tasks = 4) }
            simulation.rules.faultFreeFromMs = 25_000
            simulation.clock.runUntil(60_000)
            simulation.rules.violations.mapTo(failures) { "seed $seed: ${it.substringBefore(" since")}" }
            val downMs = simulation.rules.services.longestDownMs(id, 25_000)
            if (downMs >
                10_000
            ) {
                failures.add(
                    "seed $seed: a replica started after $downMs ms, ${simulation.rules.services.upCount(id)} run",
                )
            }
        }
        assertEquals(emptyList<String>(), failures)
    }

    /** Plays batch work of one team, with or without [services], two of which use 8 of the team's 40 CPUs. */
    private fun playBatchDay(seed: Long, services: Int): Simulation {
        val simulation = faultFreeSimulation(seed)
        repeat(services) { simulation.users.submitService { it.copy(team = "red", tasks = 4) } }
        for (i in 0L..29L) {
            simulation.clock.after(2000 + i * 4000) {
                simulation.users.submit {
                    it.asBatch("red", 6, 2.0, 8.0).copy(
                        priority =
                            if (i % 3 ==
                                0L
                            ) {
                                Priority.HIGH
                            } else {
                                Priority.STANDARD
                            },
                        dueS = 60.0,
                    )
                }
            }
        }
        simulation.rules.faultFreeFromMs = 25_000
        simulation.clock.runUntil(260_000)
        return simulation
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `services do not starve the batch work of their team`(seed: Long) {
        val withoutServices = playBatchDay(seed, 0)
        assertEquals(30, withoutServices.rules.doneCount)
        val withServices = playBatchDay(seed, 2)
        withServices.assertRulesHold()
        assertEquals(30, withServices.rules.doneCount, "pending with services: ${withServices.rules.unfinishedJobs()}")
        assertEquals(30, withoutServices.rules.onTimeCount)
        assertEquals(30, withServices.rules.onTimeCount)
    }

    @Test
    fun `services keep running under a load of urgent batch work, and best-effort jobs are not starved`() {
        val simulation = faultFreeSimulation(6, patienceS = 90.0, machines = 4)
        val services = List(3) { i -> simulation.users.submitService { it.copy(team = if (i == 0) "red" else "blue") } }
        for (i in 0 until 500) {
            simulation.clock.after(1000 + i * 800L) {
                simulation.users.submit {
                    it.asBatch("red", 10, 4.0, 10.0).copy(workload = "urgent", priority = Priority.HIGH, dueS = 60.0)
                }
            }
        }
        repeat(3) { i ->
            simulation.clock.after(30_000 + i * 1000L) {
                simulation.users.submit {
                    it.asBatch("red", 12, 4.0, 5.0).copy(workload = "wide", priority = Priority.BEST_EFFORT)
                }
            }
        }
        simulation.rules.faultFreeFromMs = 30_000
        simulation.clock.runUntil(420_000)
        assertEquals(emptyList<String>(), simulation.rules.violations)
        assertEquals(emptyList<String>(), simulation.rules.starved().filter { "wide" in it || "portal" in it })
        for (id in services) {
            assertTrue(
                simulation.rules.availability(id, 15_000) > 0.998,
                "$id ran for only this share of the time: ${simulation.rules.availability(id, 15_000)}",
            )
        }
    }
}
