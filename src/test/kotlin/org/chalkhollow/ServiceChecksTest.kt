package org.chalkhollow

import org.chalkhollow.model.ExitCause
import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.Shape
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.simulation.DeliberateErrors
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.withReliableNetwork
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Guards against rules on services that can never fail: each test introduces a fault, or tells the controllers
 * something else than the user wants, and expects a rule to be broken. Some tests check that a rule does not fail
 * without cause.
 */
class ServiceChecksTest {
    private class Scenario(val simulation: Simulation, val id: String) {
        val brokenRules: Set<String> get() = simulation.rules.violations.mapTo(HashSet()) { it.substringBefore(' ') }
    }

    private fun start(simulation: Simulation): Simulation {
        simulation.withReliableNetwork()
        simulation.begin(0, 1, machines = 6, controllerDelayMs = 4000)
        simulation.clock.runUntil(12_000)
        return simulation
    }

    private fun play(untilMs: Long, sentAs: (JobSpec) -> JobSpec) = play(untilMs, sentAs) { it }

    /** Plays a service of four replicas until [untilMs]; the controllers get it as [sentAs] returns it. */
    private fun play(untilMs: Long, sentAs: (JobSpec) -> JobSpec, change: (JobSpec) -> JobSpec): Scenario {
        val simulation = start(Simulation(4, OperatorSettings(maxIdleS = 900.0)))
        val id = simulation.users.submitService(sentAs) { change(it.copy(tasks = 4)) }
        simulation.rules.faultFreeFromMs = 20_000
        simulation.clock.runUntil(untilMs)
        return Scenario(simulation, id)
    }

    @Test
    fun `the rules detect a service that is reported as done`() {
        for (isSentAsArray in listOf(false, true)) {
            val scenario = play(20_000) { if (isSentAsArray) it.copy(shape = Shape.ARRAY) else it }
            for (worker in scenario.simulation.cloud.workers) {
                for (i in 0..3) {
                    worker.endReplica(
                        scenario.id,
                        i,
                        ExitCause.DONE,
                    )
                }
            }
            scenario.simulation.clock.runUntil(40_000)
            assertEquals(if (isSentAsArray) setOf("not_done") else emptySet(), scenario.brokenRules)
        }
    }

    @Test
    fun `the rules detect a replica that stays down and a service that runs only in part`() {
        val complete = play(56_000) { it }
        assertEquals(emptySet<String>(), complete.brokenRules)
        assertEquals(emptyList<String>(), complete.simulation.rules.starved())
        assertEquals(
            4,
            complete.simulation.rules.services
                .upCount(complete.id),
        )
        assertEquals(1.0, complete.simulation.rules.availability(complete.id, 6000), 1e-9)
        val partial = play(56_000) { it.copy(tasks = 3) }
        assertEquals(setOf("replica_down"), partial.brokenRules)
        assertTrue(
            partial.simulation.rules
                .starved()
                .any { "portal" in it },
            "the service is not among ${partial.simulation.rules.starved()}",
        )
        assertEquals(
            3,
            partial.simulation.rules.services
                .upCount(partial.id),
        )
        assertEquals(0.75, partial.simulation.rules.availability(partial.id, 6000), 1e-9)
    }

    @Test
    fun `the rules detect a service in the wrong zones`() {
        assertEquals(setOf("wrong_place"), play(20_000) { it.copy(spread = false) }.brokenRules)
        assertEquals(
            setOf("wrong_place"),
            play(20_000, {
                it.copy(together = false, spread = true)
            }) { it.copy(together = true, spread = false) }.brokenRules,
        )
    }

    @Test
    fun `the rules detect services that exceed their team's limit`() {
        val brokenRules =
            listOf(1.0, 2.0).map { factor ->
                val simulation =
                    start(
                        Simulation(
                            4,
                            OperatorSettings(maxIdleS = 900.0),
                            deliberateErrors = DeliberateErrors(configuredLimitFactor = factor),
                        ),
                    )
                repeat(2) { simulation.users.submitService { it.copy(team = "red", tasks = 24, spread = false) } }
                simulation.clock.runUntil(40_000)
                simulation.rules.violations.mapTo(HashSet()) { it.substringBefore(' ') }
            }
        assertEquals(listOf(emptySet(), setOf("quota")), brokenRules)
    }

    @Test
    fun `the rules detect a replica that runs twice or after its service was cancelled`() {
        for (isCancelled in listOf(false, true)) {
            val simulation =
                start(
                    Simulation(
                        4,
                        OperatorSettings(maxIdleS = 900.0),
                        leaseMs = 100_000,
                        deliberateErrors = DeliberateErrors(configuredLeaseS = 8.0),
                    ),
                )
            val id = simulation.users.submitService { it.copy(tasks = 4, spread = false) }
            simulation.clock.runUntil(20_000)
            val worker = simulation.cloud.workers.first { it.activeTasks().isNotEmpty() }
            for (node in simulation.nodes) simulation.network.cut(node.label, worker.name, 60_000, true)
            if (isCancelled) simulation.users.cancel(id)
            simulation.clock.runUntil(60_000)
            assertEquals(
                setOf(if (isCancelled) "ran_cancelled" else "ran_twice"),
                simulation.rules.violations.mapTo(HashSet()) {
                    it.substringBefore(' ')
                },
            )
        }
    }

    @Test
    fun `the rules detect a service whose user gets no responses`() {
        val scenario = play(20_000) { it }
        scenario.simulation.nodes.forEach { it.crash() }
        scenario.simulation.clock.runUntil(130_000)
        assertTrue("forgotten" in scenario.brokenRules, "only these rules were broken: ${scenario.brokenRules}")
    }

    @Test
    fun `a batch job that misses its deadline is not counted as on time`() {
        for ((dueS, onTime) in listOf(60.0 to 1, 3.0 to 0)) {
            val scenario = play(20_000) { it }
            scenario.simulation.users.submit {
                it.copy(
                    tasks = 1,
                    types = null,
                    zone = null,
                    expectedS = 8.0,
                    dueS = dueS,
                )
            }
            scenario.simulation.clock.runUntil(60_000)
            assertEquals(onTime, scenario.simulation.rules.onTimeCount)
        }
    }

    @Test
    fun `replicas on a hanging machine count as down, however short the time`() {
        val scenario = play(20_000) { it }
        val worker =
            scenario.simulation.cloud.workers
                .first { it.activeTasks().isNotEmpty() }
        val replicas = worker.activeTasks().size
        worker.hang(4000)
        scenario.simulation.clock.runUntil(30_000)
        assertEquals(
            4000.0,
            scenario.simulation.rules.services
                .longestDownMs(scenario.id, 20_000)
                .toDouble(),
            200.0,
        )
        assertEquals(
            1 - 0.1 * replicas,
            scenario.simulation.rules.services
                .availability(scenario.id, 20_000, 30_000),
            0.01,
        )
        assertEquals(4, scenario.simulation.rules.starts)
    }

    @Test
    fun `a replica that its team's limit keeps from running breaks no rule`() {
        val simulation = start(Simulation(4, OperatorSettings(maxIdleS = 900.0)))
        for (tasks in listOf(40, 4)) {
            simulation.users.submitService { it.copy(team = "red", tasks = tasks, spread = false) }
            simulation.clock.runUntil(simulation.clock.timeMs + 10_000)
        }
        simulation.rules.faultFreeFromMs = 30_000
        simulation.clock.runUntil(150_000)
        assertEquals(emptyList<String>(), simulation.rules.violations)
        assertEquals(40, simulation.rules.starts)
    }
}
