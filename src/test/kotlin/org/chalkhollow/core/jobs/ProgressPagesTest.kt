package org.chalkhollow.core.jobs

import org.chalkhollow.model.JobState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.util.SplittableRandom

/** Tests the stored progress of jobs when leaders of versions with different value limits follow each other. */
class ProgressPagesTest {
    private val stored = StoredJobs()

    private fun randomThird(tasks: Int, seed: Long): List<Int> {
        val random = SplittableRandom(seed)
        return (0 until tasks).filter { random.nextInt(3) == 0 }
    }

    @ParameterizedTest
    @CsvSource("8192,4096", "8192,1024", "8192,6144", "4096,8192", "1024,8192", "8192,3000", "12288,8192")
    fun `no completion is lost at any point while a version with other limits takes over`(before: Int, after: Int) {
        for (seed in 1L..3L) {
            stored.clear()
            val tasks = 40_000
            val oldLeader = stored.Leader(before).accept(storedJob(tasks))
            val initial = randomThird(tasks, seed)
            oldLeader.completeTasks(initial)
            oldLeader.writeAll()
            assertEquals(initial.size, stored.progress().cardinality())
            val newLeader = stored.Leader(after)
            assertEquals(initial.size, newLeader.job.progress.doneCount)
            newLeader.completeTasks(listOf(0, 1, 2))
            val allDone = (initial + listOf(0, 1, 2)).toSet()
            newLeader.writeAll { assertTrue(initial.all(stored.progress()::get), "a stored completion is missing") }
            assertEquals(allDone.size, stored.progress().cardinality())
            val rolledBack = stored.Leader(before)
            assertEquals(allDone.size, rolledBack.job.progress.doneCount, "the older version reads too few")
            rolledBack.completeTasks(listOf(tasks - 1))
            rolledBack.writeAll { assertTrue(allDone.all(stored.progress()::get), "a stored completion is missing") }
            val lastLeader = stored.Leader(after)
            lastLeader.completeTasks(0 until tasks)
            lastLeader.writeAll()
            assertEquals(JobState.DONE, lastLeader.jobs.find(StoredJobs.JOB_ID)?.state)
            stored.Leader(after).writeAll()
            assertEquals(listOf(StoredJobs.JOB_KEY), stored.keys, "progress pages were not deleted")
        }
    }

    @Test
    fun `a page that the state service rejects is written again later, with the tasks completed since`() {
        val leader = stored.Leader(8192).accept(storedJob(40_000))
        leader.completeTasks(listOf(1, 2))
        val rejected = checkNotNull(leader.nextWrite())
        rejected.onRejected()
        leader.completeTasks(listOf(3, 30_000))
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
    fun `a job completion that the state service rejects is retried after a delay`() {
        val leader = stored.Leader(8192).accept(storedJob(2))
        leader.completeTasks(0..1)
        checkNotNull(leader.nextWrite()).onRejected()
        assertEquals(null, leader.nextWrite())
        leader.writeAll()
        assertEquals(JobState.DONE, leader.jobs.find(StoredJobs.JOB_ID)?.state)
    }
}
