package org.chalkhollow

import org.chalkhollow.model.Priority
import org.chalkhollow.model.Resources
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.anywhere
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Work of low priority under a steady load of urgent work. */
class StarvationTest {
    /** Urgent work takes every machine for as long as it comes, while a few wide jobs of no urgency wait. */
    private fun overload(patienceS: Double): Simulation {
        val simulation = Simulation(6, OperatorSettings(maxPassedOverS = patienceS, maxIdleS = 900.0))
        simulation.begin(0, 1)
        for (i in 0 until 800) {
            simulation.clock.after(1000 + i * 800L) {
                simulation.users.submit {
                    it.anywhere().copy(
                        workload = "urgent",
                        team = "red",
                        priority = Priority.HIGH,
                        tasks = 10,
                        taskResources = Resources(4.0, 0.0, 4.0),
                        expectedS = 10.0,
                        dueS = 60.0,
                    )
                }
            }
        }
        repeat(3) { i ->
            simulation.clock.after(30_000 + i * 1000L) {
                simulation.users.submit {
                    it.anywhere().copy(
                        workload = "wide",
                        team = "red",
                        priority = Priority.BEST_EFFORT,
                        tasks = 12,
                        taskResources = Resources(4.0, 0.0, 4.0),
                        expectedS = 5.0,
                    )
                }
            }
        }
        simulation.clock.runUntil(600_000)
        assertEquals(emptyList<String>(), simulation.rules.violations)
        return simulation
    }

    @Test
    fun `no job is starved by more urgent work`() {
        assertEquals(emptyList<String>(), overload(90.0).rules.starved().filter { "wide" in it })
        assertTrue(
            overload(1e6).rules.starved().any {
                "wide" in it
            },
            "the check does not notice work that is put off for ever",
        )
    }
}
