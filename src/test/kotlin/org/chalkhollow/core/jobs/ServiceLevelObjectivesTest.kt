package org.chalkhollow.core.jobs

import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.jobSpec
import org.chalkhollow.core.openJob
import org.chalkhollow.model.Priority
import org.chalkhollow.model.Shape
import org.chalkhollow.settings.Objective
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ServiceLevelObjectivesTest {
    private val objectives =
        ServiceLevelObjectives(
            listOf(
                Objective("wait", "urgent", 70.0, 0.99),
                Objective("wait", "urgent", 4.0, 0.8),
                Objective("wait", "batch", 150.0, 0.98),
                Objective("finished", "batch", 300.0, 0.95),
                Objective("finished", "batch", 200.0, 0.9),
                Objective("deadline", "urgent", null, 0.9, 1.0),
                Objective("deadline", "urgent", null, 0.9, 1.5),
            ),
        ) { 30_000 }

    private fun job(workload: String, dueS: Double?, shape: Shape = Shape.ARRAY): OpenJob =
        openJob(jobSpec("j-1", shape).copy(workload = workload, priority = Priority.HIGH, dueS = dueS))

    // An earlier version kept only the last objective of each kind, and treated every class with a limit of minutes as
    // one that needs prompt starts.
    @Test
    fun `only a class with a start objective shorter than the boot time awaits prompt starts`() {
        assertTrue(objectives.awaitsPromptStart(job("urgent", null)))
        assertFalse(objectives.awaitsPromptStart(job("batch", null)))
        assertTrue(objectives.canStartInTime(job("urgent", null), 69_000))
        assertFalse(objectives.canStartInTime(job("urgent", null), 71_000))
        assertFalse(objectives.canStartInTime(job("batch", null), 1_000))
        assertFalse(objectives.isStartDeadlineNear(job("batch", null), 70_000))
        assertTrue(objectives.isStartDeadlineNear(job("batch", null), 80_000))
        assertFalse(objectives.isStartDeadlineNear(job("batch", null), 151_000))
    }

    @Test
    fun `when one objective is missed, the next one counts`() {
        val batch = job("batch", null)
        assertEquals(
            listOf(200_000L, 300_000L, 300_000L),
            listOf(0L, 195_000L, 400_000L).map {
                objectives.dueWallMs(batch, it, 10_000)
            },
        )
        val urgent = job("urgent", 20.0)
        assertEquals(
            listOf(20_000L, 30_000L, 30_000L),
            listOf(10_000L, 10_001L, 25_000L).map {
                objectives.dueWallMs(urgent, it, 10_000)
            },
        )
        assertEquals(Long.MAX_VALUE, objectives.dueWallMs(job("other", null), 0, 1))
    }

    @Test
    fun `a service is never due, even with a deadline or objectives of its class`() {
        val service = job("batch", 20.0, Shape.SERVICE)
        assertEquals(Long.MAX_VALUE, objectives.dueWallMs(service, 0, 0))
        assertEquals(Long.MAX_VALUE, objectives.dueWallMs(service, 400_000, 0))
        assertTrue(objectives.awaitsPromptStart(service))
        assertTrue(objectives.canStartInTime(service, 400_000))
    }
}
