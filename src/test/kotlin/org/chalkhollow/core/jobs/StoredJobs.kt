package org.chalkhollow.core.jobs

import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.jobSpec
import org.chalkhollow.core.storage.TransactionBudget
import org.chalkhollow.core.storage.Write
import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.KeyValue
import org.chalkhollow.model.Priority
import org.chalkhollow.settings.StateLimits
import org.chalkhollow.wire.Fields
import org.chalkhollow.wire.Pack
import org.junit.jupiter.api.Assertions.assertTrue
import java.util.Base64
import java.util.BitSet
import java.util.TreeMap

/** A spec for the job whose records [StoredJobs] holds. */
internal fun storedJob(tasks: Int): JobSpec =
    jobSpec(StoredJobs.JOB_ID, tasks = tasks).copy(team = "red", priority = Priority.HIGH, image = "img")

/** Stored records of one job, written by successive leaders, each with its own value limit. */
internal class StoredJobs {
    private val records = TreeMap<String, Any?>()

    val keys: List<String> get() = records.keys.toList()

    fun clear() = records.clear()

    fun record(key: String): Fields = Fields.of(records.getValue(key), "record")

    /** The job's progress as any version reads it: the union of all pages, whatever their keys. */
    fun progress(): BitSet {
        val all = BitSet()
        for (page in rows(ProgressPageRecord.KEY_PREFIX)) {
            val firstTask = page.key.substringAfterLast('/').toInt()
            val done = BitSet.valueOf(Base64.getDecoder().decode(Fields.of(page.value, page.key).text("b")))
            for (index in done.stream()) all.set(firstTask + index)
        }
        return all
    }

    private fun rows(prefix: String): List<KeyValue> =
        records.filterKeys { it.startsWith(prefix) }.map { (key, value) -> KeyValue(key, value, 1) }

    /** A leader's job table, which is loaded from these records and written to them. */
    inner class Leader(private val valueBytes: Int, finishLoading: Boolean = true) {
        private val limits = StateLimits(80.0, 20.0, valueBytes, 12)
        private val context = CoreContext(1).apply { now = Now(0, 0) }
        val jobs = JobTable(context, Interners(), limits)
        val cancellation = JobCancellation(jobs, limits, JobEvents.None)
        private val completions = CompletionWriter(context, jobs, JobEvents.None) { _, _ -> }

        init {
            rows(JobRecord.KEY_PREFIX).forEach(jobs::loadJob)
            rows(ProgressPageRecord.KEY_PREFIX).forEach(jobs::loadPage)
            if (finishLoading) jobs.finishLoading()
        }

        val job: OpenJob get() = checkNotNull(jobs.find(JOB_ID)?.open)

        fun accept(spec: JobSpec): Leader {
            jobs.accept(spec, onRejected = {}) {}
            writeAll()
            return this
        }

        fun completeTasks(tasks: Iterable<Int>) = tasks.forEach { job.completeTask(it, context.steady) }

        /** Advances the time by two seconds and returns the next write. */
        fun nextWrite(): Write? {
            val nowMs = context.steady + 2000
            context.now = Now(nowMs, nowMs)
            val budget = TransactionBudget(11, 40 * 1024)
            return jobs.urgentWrites.next(budget) ?: completions.next(budget) ?: jobs.garbage.next(budget)
        }

        fun writeAll(afterEach: () -> Unit = {}) {
            var emptyPolls = 0
            while (emptyPolls < 3) { // rejected writes are retried after a delay
                val write = nextWrite()
                emptyPolls = if (write == null) emptyPolls + 1 else 0
                write?.let(::commit)
                afterEach()
            }
        }

        private fun commit(write: Write) {
            for (change in write.changes) {
                val packed = change.value?.let(Pack::encode)
                if (packed == null) {
                    records.remove(change.key)
                } else {
                    assertTrue(packed.size <= valueBytes, "${change.key} takes ${packed.size} of $valueBytes bytes")
                    records[change.key] = Pack.decode(packed)
                }
            }
            write.onDurable()
        }
    }

    companion object {
        const val JOB_ID = "j-000001"
        const val JOB_KEY = "job/j-000001"
    }
}
