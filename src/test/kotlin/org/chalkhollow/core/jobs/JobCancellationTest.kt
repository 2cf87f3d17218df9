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

    /** What is stored of [job] once it is cancelled under values of [valueBytes]. */
    private fun cancelled(job: JobSpec, valueBytes: Int): Fields {
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
    fun `a cancelled job's record leaves out the machine types when it does not fit`() {
        val job = storedJob(5).copy(types = List(40) { "type-number-$it-" + "x".repeat(20) })
        assertTrue(cancelled(job, 8192).has("flavours"))
        stored.clear()
        val small = cancelled(job, 1024)
        assertEquals("red", small.text("owner"))
        assertTrue(!small.has("flavours") && small.has("bundle"))
        val leader = stored.Leader(1024, loaded = false)
        assertEquals(
            "red",
            leader.jobs
                .findForMarker(StoredJobs.JOB_ID)
                ?.spec
                ?.team,
        )
    }

    @Test
    fun `a cancellation that is refused is tried smaller, then again and again`() {
        val leader = stored.Leader(8192).accept(storedJob(5))
        leader.cancellation.cancel(leader.job) {}
        val sizes = ArrayList<Int>()
        repeat(8) {
            val write = leader.next() ?: return@repeat
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
