package org.chalkhollow.core.jobs

import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.EncodedSize
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.storage.StateWriter
import org.chalkhollow.core.storage.Write
import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.JobState
import org.chalkhollow.model.KeyValue
import org.chalkhollow.model.Priority
import org.chalkhollow.model.Resources
import org.chalkhollow.model.Shape
import org.chalkhollow.settings.StateLimits
import org.chalkhollow.wire.Fields
import org.chalkhollow.wire.Pack
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.util.Base64
import java.util.BitSet
import java.util.SplittableRandom
import java.util.TreeMap

/** Records of jobs, passed between versions whose values may be of different sizes. */
class ProgressPagesTest {
    private val store = TreeMap<String, Any?>()

    private fun limits(valueBytes: Int) = StateLimits(80.0, 20.0, valueBytes, 12)

    private fun spec(tasks: Int, types: List<String>? = null) =
        JobSpec(
            "j-000001",
            "w",
            "red",
            Shape.ARRAY,
            Priority.HIGH,
            tasks,
            Resources(1.0, 0.0, 1.0),
            "img",
            1.0,
            types,
            null,
            together = false,
            spread = false,
            spotAllowed = true,
            expectedS = 5.0,
            checkpointS = 0.0,
            saveS = 0.0,
            dueS = null,
        )

    /** A leader's jobs under limits of its own, writing into and loaded from [store]. */
    private inner class Leader(private val valueBytes: Int, loaded: Boolean = true) {
        val context = CoreContext(1)
        val jobs = JobTable(context, Interners(), limits(valueBytes))
        val cancellation = JobCancellation(jobs, limits(valueBytes), JobEvents.None)
        private val completions = CompletionWriter(context, jobs, { _, _ -> }, JobEvents.None)
        private var t = 0L

        init {
            context.now = Now(0, 0)
            for ((k, v) in store.filterKeys { it.startsWith(JobRecord.KEY_PREFIX) }) jobs.loadJob(KeyValue(k, v, 1))
            for ((k, v) in store.filterKeys {
                it.startsWith(
                    ProgressPageRecord.KEY_PREFIX,
                )
            }) {
                jobs.loadPage(KeyValue(k, v, 1))
            }
            if (loaded) jobs.finishLoading()
        }

        val job: OpenJob get() = checkNotNull(jobs.find("j-000001")?.open)

        fun next(): Write? {
            t += 2000
            context.now = Now(t, t)
            val room = StateWriter.Room(11, 40 * 1024)
            return jobs.urgentWrites.next(room) ?: completions.next(room) ?: jobs.garbage.next(room)
        }

        fun apply(write: Write) {
            for (c in write.changes) {
                val packed = c.value?.let(Pack::encode)
                if (packed == null) {
                    store.remove(c.key)
                } else {
                    assertTrue(packed.size <= valueBytes)
                    store[c.key] = Pack.decode(packed)
                }
            }
            write.onDurable()
        }

        fun writeAll(after: () -> Unit = {}) {
            var idle = 0
            while (idle < 3) { // what was refused waits for a while
                val write = next()
                idle = if (write == null) idle + 1 else 0
                write?.let(::apply)
                after()
            }
        }

        fun accept(tasks: Int): Leader {
            jobs.accept(spec(tasks), onRefused = {}) {}
            writeAll()
            return this
        }

        fun done(tasks: Iterable<Int>) = tasks.forEach { job.completeTask(it, context.steady) }
    }

    /** What any version reads of the job's progress: the union of all pages, whatever their keys. */
    private fun stored(): BitSet {
        val all = BitSet()
        for ((k, v) in store.filterKeys { it.startsWith(ProgressPageRecord.KEY_PREFIX) }) {
            val from = k.substringAfterLast('/').toInt()
            for (i in BitSet.valueOf(Base64.getDecoder().decode(Fields.of(v, k).text("b"))).stream()) all.set(from + i)
        }
        return all
    }

    private fun some(tasks: Int, seed: Long): List<Int> =
        SplittableRandom(seed).let { r ->
            (0 until tasks).filter {
                r.nextInt(3) ==
                    0
            }
        }

    @ParameterizedTest
    @CsvSource("8192,4096", "8192,1024", "8192,6144", "4096,8192", "1024,8192", "8192,3000", "12288,8192")
    fun `no completion is lost at any moment while a version with other limits takes over`(before: Int, after: Int) {
        for (seed in 1L..3L) {
            store.clear()
            val tasks = 40_000
            val old = Leader(before).accept(tasks)
            val first = some(tasks, seed)
            old.done(first)
            old.writeAll()
            assertEquals(first.size, stored().cardinality())
            val new = Leader(after)
            assertEquals(first.size, new.job.progress.doneCount)
            new.done(listOf(0, 1, 2))
            val all = (first + listOf(0, 1, 2)).toSet()
            new.writeAll { assertTrue(first.all(stored()::get), "a completion is gone from the records") }
            assertEquals(all.size, stored().cardinality())
            val back = Leader(before)
            assertEquals(all.size, back.job.progress.doneCount, "the older version reads less than was written")
            back.done(listOf(tasks - 1))
            back.writeAll { assertTrue(all.all(stored()::get)) }
            val last = Leader(after)
            last.done(0 until tasks)
            last.writeAll()
            assertEquals(JobState.DONE, last.jobs.find("j-000001")?.state)
            Leader(after).writeAll()
            assertEquals(listOf(JobRecord.KEY_PREFIX + "j-000001"), store.keys.toList(), "pages are left behind")
        }
    }

    @Test
    fun `a page that the state service refuses is written again, later and with what was done since`() {
        val leader = Leader(8192).accept(40_000)
        leader.done(listOf(1, 2))
        val refused = checkNotNull(leader.next())
        refused.onRefused()
        leader.done(listOf(3, 30_000))
        leader.writeAll()
        assertEquals(listOf(1, 2, 3, 30_000), stored().stream().toArray().toList())
    }

    @Test
    fun `an end that the state service refuses is written later, and pages of others go on`() {
        val leader = Leader(8192).accept(2)
        leader.done(0..1)
        checkNotNull(leader.next()).onRefused()
        assertEquals(null, leader.next())
        leader.writeAll()
        assertEquals(JobState.DONE, leader.jobs.find("j-000001")?.state)
    }

    private fun cancelled(job: JobSpec, valueBytes: Int): Fields {
        val before = Leader(8192)
        before.jobs.accept(job, onRefused = {}) {}
        before.writeAll()
        val leader = Leader(valueBytes)
        leader.cancellation.cancel(leader.job) {}
        leader.writeAll()
        val again = Leader(valueBytes)
        assertEquals(JobState.CANCELLED, again.jobs.find(job.id)?.state)
        return Fields.of(store.getValue(JobRecord.KEY_PREFIX + job.id), "record")
    }

    @Test
    fun `a cancelled job's record leaves out the machine types when it does not fit`() {
        val job = spec(5, List(40) { "type-number-$it-" + "x".repeat(20) })
        assertTrue(Fields.of(cancelled(job, 8192).map["j"], "j").has("flavours"))
        store.clear()
        val small = Fields.of(cancelled(job, 1024).map["j"], "j")
        assertEquals("red", small.text("owner"))
        assertTrue(!small.has("flavours") && small.has("bundle"))
        assertEquals(
            "red",
            Leader(1024, loaded = false)
                .jobs
                .findForMarker("j-000001")
                ?.spec
                ?.team,
        )
    }

    @Test
    fun `a cancellation that is refused is tried smaller, then again and again`() {
        val leader = Leader(8192).accept(5)
        leader.cancellation.cancel(leader.job) {}
        val sizes = ArrayList<Int>()
        repeat(8) {
            val write = leader.next() ?: return@repeat
            sizes.add(write.changes.sumOf { EncodedSize.of(it) })
            write.onRefused()
        }
        assertTrue(sizes.size >= 4 && sizes.first() > sizes.last(), "$sizes")
        leader.writeAll()
        assertEquals(JobState.CANCELLED, Leader(8192).jobs.find("j-000001")?.state)
    }
}
