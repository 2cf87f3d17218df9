package org.chalkhollow.core.jobs

import org.chalkhollow.core.common.EncodedSize
import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.JobState
import org.chalkhollow.wire.Fields
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class JobCancellationTest {
    private val stored = StoredJobs()

    /** Cancels [job] under a value limit of [valueBytes] and returns the spec in its stored record. */
    private fun storedSpecAfterCancel(job: JobSpec, valueBytes: Int): Fields {
        stored.Leader(8192).accept(job)
        val leader = stored.Leader(valueBytes)
        leader.cancellation.cancel(leader.job) {}
        leader.writeAll()
        assertEquals(
            JobState.CANCELLED,
            stored
                .Leader(valueBytes)
                .jobs
                .find(job.id)
                ?.state,
        )
        return Fields.of(stored.record(StoredJobs.JOB_KEY).map["j"], "j")
    }

    @Test
    fun `a cancelled job's record omits the machine types when it does not fit into a value`() {
        val job = storedJob(5).copy(types = List(40) { "type-number-$it-" + "x".repeat(20) })
        assertTrue(storedSpecAfterCancel(job, 8192).has("flavours"))
        stored.clear()
        val reducedSpec = storedSpecAfterCancel(job, 1024)
        assertEquals("red", reducedSpec.text("owner"))
        assertTrue(!reducedSpec.has("flavours") && reducedSpec.has("bundle"))
        val leader = stored.Leader(1024, finishLoading = false)
        assertEquals(
            "red",
            leader.jobs
                .findForMarker(StoredJobs.JOB_ID)
                ?.spec
                ?.team,
        )
    }

    @Test
    fun `a rejected cancellation is retried with smaller records, then with the smallest until accepted`() {
        val leader = stored.Leader(8192).accept(storedJob(5))
        leader.cancellation.cancel(leader.job) {}
        val sizes = ArrayList<Int>()
        repeat(8) {
            val write = leader.nextWrite() ?: return@repeat
            sizes.add(write.changes.sumOf { EncodedSize.of(it) })
            write.onRejected()
        }
        assertTrue(sizes.size >= 4 && sizes.first() > sizes.last(), "$sizes")
        leader.writeAll()
        assertEquals(
            JobState.CANCELLED,
            stored
                .Leader(8192)
                .jobs
                .find(StoredJobs.JOB_ID)
                ?.state,
        )
    }
}
