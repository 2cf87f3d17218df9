package org.chalkhollow.core.cluster

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class FairShareCreditTest {
    private val credit = FairShareCredit(acceptedWallMs = 1_000)

    @Test
    fun `placing tasks reduces the credit to no less than zero`() {
        credit.grant(cpus = 4.0, sinceWallMs = 2_000)
        credit.placed(placedCpus = 3.0, wallMs = 3_000)
        assertEquals(1.0, credit.cpus)
        credit.placed(placedCpus = 3.0, wallMs = 4_000)
        assertEquals(0.0, credit.cpus)
        assertEquals(4_000, credit.lastPlacedWallMs)
    }

    @Test
    fun `a job has waited long after a minute with pending tasks, even if others were placed meanwhile`() {
        credit.placed(placedCpus = 1.0, wallMs = 50_000)
        assertFalse(credit.hasWaitedLong(61_000))
        assertTrue(credit.hasWaitedLong(61_001))
        credit.allPlaced(61_001)
        assertFalse(credit.hasWaitedLong(61_002))
    }
}
