package org.chalkhollow.core.fleet

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class RequestBudgetTest {
    private val budget = RequestBudget(requestsPerS = 5.0)

    /** How many requests the budget allows at [nowMs]. */
    private fun spendAll(nowMs: Long): Int {
        budget.refill(nowMs)
        return generateSequence { budget.trySpend().takeIf { it } }.count()
    }

    @Test
    fun `the budget is refilled at four fifths of the rate and holds one second's requests at most`() {
        assertEquals(1, spendAll(0))
        assertEquals(0, spendAll(249))
        assertEquals(1, spendAll(251))
        assertEquals(4, spendAll(1251))
        assertEquals(5, spendAll(60_000))
    }
}
