package org.chalkhollow.core.fleet

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class RequestBudgetTest {
    private val budget = RequestBudget(requestsPerS = 5.0)

    /** How many requests the budget allows at [now]. */
    private fun spendAll(now: Long): Int {
        budget.refill(now)
        return generateSequence { budget.trySpend().takeIf { it } }.count()
    }

    @Test
    fun `the budget is four fifths of the rate, and of one second at most`() {
        assertEquals(1, spendAll(0))
        assertEquals(0, spendAll(249))
        assertEquals(1, spendAll(251))
        assertEquals(4, spendAll(1251))
        assertEquals(5, spendAll(60_000))
    }
}
