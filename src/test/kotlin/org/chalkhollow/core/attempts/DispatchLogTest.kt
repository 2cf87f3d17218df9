package org.chalkhollow.core.attempts

import org.chalkhollow.core.PlacementFixture
import org.chalkhollow.core.acceptDurably
import org.chalkhollow.core.cluster.HoldReason
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.common.EncodedSize
import org.chalkhollow.core.jobSpec
import org.chalkhollow.core.storage.TransactionBudget
import org.chalkhollow.core.storage.Write
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Checks how the size limit of dispatch markers follows rejections, and what becomes of the tasks. */
class DispatchLogTest {
    private object Events : DispatchEvents {
        override fun onHeld(allocation: Allocation, reason: HoldReason) = Unit

        override fun onDispatching(allocations: List<Allocation>) = Unit

        override fun onDispatched(allocations: List<Allocation>) = Unit

        override fun onRejected(allocations: List<Allocation>) = Unit
    }

    private val fixture = PlacementFixture(teamCpus = 1e6)
    private val dispatch =
        DispatchLog(fixture.settings.stateLimits, fixture.reconciler, fixture.fleet).also { it.start(1) }
    private val job = fixture.jobs.acceptDurably(jobSpec("j-1", tasks = 20_000))

    /** The write of the markers of every other task of the job; they take several of 8 KB. */
    private fun writeScattered(): Write {
        val tasks = (0 until job.spec.tasks step 2).filter { !job.tasks.isLive(it) }.toIntArray()
        val allocation = Allocation(job, Machine(0, "n-1"), tasks, fromCredit = false)
        return checkNotNull(dispatch.prepareMarkerWrite(listOf(allocation), TransactionBudget(11, 40 * 1024), Events))
    }

    /** The largest marker has [maxBytes], less at most what the builder reserves for a marker without its rows. */
    private fun assertFilled(maxBytes: Int, write: Write) {
        val largest = write.changes.maxOf { EncodedSize.of(it.value) }
        assertTrue(largest in maxBytes - 160..maxBytes, "$largest bytes")
    }

    // Guards against a limit that falls to the least as soon as one transaction is split into its markers.
    @Test
    fun `the rejected markers of one round lower the size limit once, and their tasks are pending again`() {
        val write = writeScattered()
        assertTrue(write.parts.size > 3, "${write.parts.size} markers")
        assertFilled(8192, write)
        for (part in write.parts) part.onRejected()
        assertEquals(0, job.tasks.liveCount)
        assertFilled(4096, writeScattered())
    }
}
