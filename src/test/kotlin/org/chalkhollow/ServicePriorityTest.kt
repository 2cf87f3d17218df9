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

/** Services and batch work beside each other: neither starves the other. */
class ServicePriorityTest {
    /**
     * What fills six machines, or two teams' limits, with tasks of 2 CPUs; the service is of team red, which may use 40
     * CPUs.
     */
    enum class Full(val red: Int, val blue: Int) {
        MACHINES_BY_OTHERS(4, 20),
        MACHINES_BY_ITS_TEAM(18, 6),
        ITS_LIMIT(20, 20),
    }

    @ParameterizedTest
    @EnumSource
    fun `an urgent service begins within 10 s although batch work fills everything`(full: Full) {
        val late = ArrayList<String>()
        for (seed in 1L..3L) {
            val simulation =
                faultFreeSimulation(
                    seed,
                    maxMachines =
                        if (full ==
                            Full.ITS_LIMIT
                        ) {
                            10
                        } else {
                            6
                        },
                    machines = if (full == Full.ITS_LIMIT) 10 else 6,
                )
            simulation.users.submit { it.asBatch("red", full.red, 2.0, 300.0) }
            simulation.users.submit { it.asBatch("blue", full.blue, 2.0, 300.0) }
            simulation.clock.runUntil(25_000)
            assertEquals(full.red + full.blue, simulation.rules.starts, "the machines are not full")
            val id = simulation.users.submitService { it.copy(team = "red", tasks = 4) }
            simulation.rules.faultFreeFromMs = 25_000
            simulation.clock.runUntil(60_000)
            simulation.rules.violations.mapTo(late) { "seed $seed: ${it.substringBefore(" since")}" }
            val down = simulation.rules.services.longestDownMs(id, 25_000)
            if (down >
                10_000
            ) {
                late.add("seed $seed: a replica began after $down ms, ${simulation.rules.services.upCount(id)} run")
            }
        }
        assertEquals(emptyList<String>(), late)
    }

    /** A day of one team's batch work, with or without services that take 8 of its 40 CPUs. */
    private fun batchDay(seed: Long, services: Int): Simulation {
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
        val without = batchDay(seed, 0)
        assertEquals(30, without.rules.doneCount)
        val with = batchDay(seed, 2)
        with.assertRulesHold()
        assertEquals(30, with.rules.doneCount, "with services ${with.rules.unfinishedJobs()}")
        assertEquals(30, without.rules.onTimeCount)
        assertEquals(30, with.rules.onTimeCount)
    }

    @Test
    fun `urgent, late and patient batch work goes on beside services`() {
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
                "$id served ${simulation.rules.availability(id, 15_000)}",
            )
        }
    }
}
