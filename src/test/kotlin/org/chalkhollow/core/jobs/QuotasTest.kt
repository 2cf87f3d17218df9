package org.chalkhollow.core.jobs

import org.chalkhollow.model.Resources
import org.chalkhollow.model.Team
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tests the limits and guarantees of teams. */
class QuotasTest {
    @Test
    fun `a team's limit counts every attempt that may run and the tasks placed in the current round`() {
        val taskResources = Resources(4.0, 0.0, 1.0)
        val nothing = Resources(0.0, 0.0, 0.0)
        val quotas = Quotas(listOf(Team("t", 8.0, 16.0, 0.0, 0.0)))
        assertEquals(4, quotas.headroom(0, taskResources, nothing), "headroom of an idle team")
        quotas.add(0, taskResources)
        assertEquals(
            2,
            quotas.headroom(0, taskResources, Resources(4.0, 0.0, 0.0)),
            "headroom after one task and 4 CPUs in use",
        )
        assertTrue(quotas.withinGuarantee(0, 8.0, 0.0))
        assertFalse(quotas.withinGuarantee(0, 8.1, 0.0))
        assertEquals(0, quotas.headroom(-1, taskResources, nothing), "headroom of a team that is not in the settings")
    }
}
