package org.chalkhollow

import org.chalkhollow.model.ExitCause
import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.Shape
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.simulation.Sabotage
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.withReliableNetwork
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The checks on services can fail: each test has the controllers believe something else than the user wants. */
class ServiceChecksTest {
    private class Played(val simulation: Simulation, val id: String) {
        val rules: Set<String> get() = simulation.rules.violations.mapTo(HashSet()) { it.substringBefore(' ') }
    }

    private fun started(simulation: Simulation): Simulation {
        simulation.withReliableNetwork()
        simulation.begin(0, 1, machines = 6, firstMs = 4000)
        simulation.clock.runUntil(12_000)
        return simulation
    }

    private fun played(untilMs: Long, sentAs: (JobSpec) -> JobSpec) = played(untilMs, sentAs) { it }

    private fun played(untilMs: Long, sentAs: (JobSpec) -> JobSpec, change: (JobSpec) -> JobSpec): Played {
        val simulation = started(Simulation(4, OperatorSettings(maxIdleS = 900.0)))
        val id = simulation.users.submitService(sentAs) { change(it.copy(tasks = 4)) }
        simulation.rules.calmFrom = 20_000
        simulation.clock.runUntil(untilMs)
        return Played(simulation, id)
    }

    @Test
    fun `a service that is said to be done is noticed`() {
        for (sabotaged in listOf(false, true)) {
            val day = played(20_000) { if (sabotaged) it.copy(shape = Shape.ARRAY) else it }
            for (worker in day.simulation.cloud.workers) for (i in 0..3) worker.end(day.id, i, ExitCause.DONE)
            day.simulation.clock.runUntil(40_000)
            assertEquals(if (sabotaged) setOf("not_done") else emptySet(), day.rules)
        }
    }

    @Test
    fun `a replica that stays down, and a service that is served in part, are noticed`() {
        val well = played(56_000) { it }
        assertEquals(emptySet<String>(), well.rules)
        assertEquals(emptyList<String>(), well.simulation.rules.starved())
        assertEquals(
            4,
            well.simulation.rules.services
                .up(well.id),
        )
        assertEquals(1.0, well.simulation.rules.upShare(well.id, 6000), 1e-9)
        val poor = played(56_000) { it.copy(tasks = 3) }
        assertEquals(setOf("replica_down"), poor.rules)
        assertTrue(
            poor.simulation.rules
                .starved()
                .any { "portal" in it },
            "only ${poor.simulation.rules.starved()}",
        )
        assertEquals(
            3,
            poor.simulation.rules.services
                .up(poor.id),
        )
        assertEquals(0.75, poor.simulation.rules.upShare(poor.id, 6000), 1e-9)
    }

    @Test
    fun `a service in the wrong zones is noticed`() {
        assertEquals(setOf("wrong_place"), played(20_000) { it.copy(spread = false) }.rules)
        assertEquals(
            setOf("wrong_place"),
            played(20_000, {
                it.copy(together = false, spread = true)
            }) { it.copy(together = true, spread = false) }.rules,
        )
    }

    @Test
    fun `a service beyond its team's limit is noticed`() {
        val seen =
            listOf(1.0, 2.0).map { factor ->
                val simulation =
                    started(
                        Simulation(
                            4,
                            OperatorSettings(maxIdleS = 900.0),
                            sabotage = Sabotage(toldLimitFactor = factor),
                        ),
                    )
                repeat(2) { simulation.users.submitService { it.copy(team = "red", tasks = 24, spread = false) } }
                simulation.clock.runUntil(40_000)
                simulation.rules.violations.mapTo(HashSet()) { it.substringBefore(' ') }
            }
        assertEquals(listOf(emptySet(), setOf("quota")), seen)
    }

    @Test
    fun `a replica that runs twice, or on after its service was withdrawn, is noticed`() {
        for (withdrawn in listOf(false, true)) {
            val simulation =
                started(
                    Simulation(
                        4,
                        OperatorSettings(maxIdleS = 900.0),
                        leaseMs = 100_000,
                        sabotage = Sabotage(toldLeaseS = 8.0),
                    ),
                )
            val id = simulation.users.submitService { it.copy(tasks = 4, spread = false) }
            simulation.clock.runUntil(20_000)
            val worker = simulation.cloud.workers.first { it.onMachine().isNotEmpty() }
            for (node in simulation.nodes) simulation.network.cut(node.label, worker.name, 60_000, true)
            if (withdrawn) simulation.users.cancel(id)
            simulation.clock.runUntil(60_000)
            assertEquals(
                setOf(if (withdrawn) "ran_cancelled" else "ran_twice"),
                simulation.rules.violations.mapTo(HashSet()) {
                    it.substringBefore(' ')
                },
            )
        }
    }

    @Test
    fun `a service that nobody answers for is noticed`() {
        val day = played(20_000) { it }
        day.simulation.nodes.forEach { it.crash() }
        day.simulation.clock.runUntil(130_000)
        assertTrue("forgotten" in day.rules, "only ${day.rules}")
    }

    @Test
    fun `batch work that is late is not counted as on time`() {
        for ((dueS, onTime) in listOf(60.0 to 1, 3.0 to 0)) {
            val day = played(20_000) { it }
            day.simulation.users.submit { it.copy(tasks = 1, types = null, zone = null, expectedS = 8.0, dueS = dueS) }
            day.simulation.clock.runUntil(60_000)
            assertEquals(onTime, day.simulation.rules.onTimeCount)
        }
    }

    @Test
    fun `a machine that hangs serves nothing, however short`() {
        val day = played(20_000) { it }
        val worker =
            day.simulation.cloud.workers
                .first { it.onMachine().isNotEmpty() }
        val replicas = worker.onMachine().size
        worker.hang(4000)
        day.simulation.clock.runUntil(30_000)
        assertEquals(
            4000.0,
            day.simulation.rules.services
                .longestDownMs(day.id, 20_000)
                .toDouble(),
            200.0,
        )
        assertEquals(
            1 - 0.1 * replicas,
            day.simulation.rules.services
                .share(day.id, 20_000, 30_000),
            0.01,
        )
        assertEquals(4, day.simulation.rules.starts)
    }

    @Test
    fun `a service of a team at its limit is not missed`() {
        val simulation = started(Simulation(4, OperatorSettings(maxIdleS = 900.0)))
        for (tasks in listOf(40, 4)) {
            simulation.users.submitService { it.copy(team = "red", tasks = tasks, spread = false) }
            simulation.clock.runUntil(simulation.clock.time + 10_000)
        }
        simulation.rules.calmFrom = 30_000
        simulation.clock.runUntil(150_000)
        assertEquals(emptyList<String>(), simulation.rules.violations)
        assertEquals(40, simulation.rules.starts)
    }
}
