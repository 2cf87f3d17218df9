package org.chalkhollow.core.jobs

import org.chalkhollow.model.JobState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.util.SplittableRandom

/** Progress of jobs in records, passed between versions whose values may be of different sizes. */
class ProgressPagesTest {
    private val stored = StoredJobs()

    private fun aboutAThird(tasks: Int, seed: Long): List<Int> {
        val random = SplittableRandom(seed)
        return (0 until tasks).filter { random.nextInt(3) == 0 }
    }

    @ParameterizedTest
    @CsvSource("8192,4096", "8192,1024", "8192,6144", "4096,8192", "1024,8192", "8192,3000", "12288,8192")
    fun `no completion is lost at any moment while a version with other limits takes over`(before: Int, after: Int) {
        for (seed in 1L..3L) {
            stored.clear()
            val tasks = 40_000
            val old = stored.Leader(before).accept(storedJob(tasks))
            val first = aboutAThird(tasks, seed)
            old.done(first)
            old.writeAll()
            assertEquals(first.size, stored.progress().cardinality())
            val new = stored.Leader(after)
            assertEquals(first.size, new.job.progress.doneCount)
            new.done(listOf(0, 1, 2))
            val all = (first + listOf(0, 1, 2)).toSet()
            new.writeAll { assertTrue(first.all(stored.progress()::get), "a completion is gone from the records") }
            assertEquals(all.size, stored.progress().cardinality())
            val back = stored.Leader(before)
            assertEquals(all.size, back.job.progress.doneCount, "the older version reads less than was written")
            back.done(listOf(tasks - 1))
            back.writeAll { assertTrue(all.all(stored.progress()::get), "a completion is gone from the records") }
            val last = stored.Leader(after)
            last.done(0 until tasks)
            last.writeAll()
            assertEquals(JobState.DONE, last.jobs.find(StoredJobs.JOB_ID)?.state)
            stored.Leader(after).writeAll()
            assertEquals(listOf(StoredJobs.JOB_KEY), stored.keys, "pages are left behind")
        }
    }

    @Test
    fun `a page that the state service refuses is written again, later and with what was done since`() {
        val leader = stored.Leader(8192).accept(storedJob(40_000))
        leader.done(listOf(1, 2))
        val refused = checkNotNull(leader.next())
        refused.onRejected()
        leader.done(listOf(3, 30_000))
        leader.writeAll()
        assertEquals(
            listOf(1, 2, 3, 30_000),
            stored
                .progress()
                .stream()
                .toArray()
                .toList(),
        )
    }

    @Test
    fun `an end that the state service refuses is written later, and pages of others go on`() {
        val leader = stored.Leader(8192).accept(storedJob(2))
        leader.done(0..1)
        checkNotNull(leader.next()).onRejected()
        assertEquals(null, leader.next())
        leader.writeAll()
        assertEquals(JobState.DONE, leader.jobs.find(StoredJobs.JOB_ID)?.state)
    }
}
