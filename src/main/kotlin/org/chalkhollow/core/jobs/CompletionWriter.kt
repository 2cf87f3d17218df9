package org.chalkhollow.core.jobs

import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.storage.StateWriter
import org.chalkhollow.core.storage.TransactionBudget
import org.chalkhollow.core.storage.Write
import org.chalkhollow.model.Change
import org.chalkhollow.model.JobState
import java.util.BitSet

/**
 * Writes completions of tasks. A job's completion is written at once; progress pages are batched for [PAGE_BATCH_MS],
 * since the write rate is limited. A write holds a copy of the progress from when it was created; tasks
 * that complete later go into a later write. Called by the [StateWriter].
 */
class CompletionWriter(
    private val context: CoreContext,
    private val jobs: JobTable,
    private val events: JobEvents,
    /** Called when completions of tasks are durable, so that workers may forget the attempts. */
    private val onCompletionsDurable: (OpenJob, BitSet) -> Unit,
) {
    fun next(budget: TransactionBudget): Write? {
        if (budget.ops < 1) return null
        // Users wait for the completion of a job; pages only save a later leader some work, so they come after it.
        var batchedJob: OpenJob? = null
        for (job in jobs.open) {
            if (job.cancelling || !job.pages.mayWrite(context.steady)) continue
            if (job.complete) return jobCompletion(job, budget)
            if (batchedJob == null && context.steady - job.pages.dirtySinceMs >= PAGE_BATCH_MS) batchedJob = job
        }
        return batchedJob?.let { nextPage(it, budget) }
    }

    private fun jobCompletion(job: OpenJob, budget: TransactionBudget): Write? {
        val done = job.progress.snapshot()
        val change = Change(JobRecord.key(job.spec.id), JobRecord.encodeDone(job.spec))
        val onRejected = { job.pages.completionRejected(retryAtMs = context.steady + REJECTED_RETRY_MS) }
        val write =
            Write(listOf(change), onRejected) {
                job.pages.completionWritten()
                jobs.end(job, JobState.DONE)
                onCompletionsDurable(job, done)
                events.onJobDone(job)
            }
        if (!write.fits(budget)) return null
        job.pages.completionSent()
        return write
    }

    private fun nextPage(job: OpenJob, budget: TransactionBudget): Write? {
        val page = job.pages.nextToWrite()
        if (page < 0) return null
        val write = pageWrite(job, page)
        if (!write.fits(budget)) return null
        job.pages.pageSent(page, context.steady)
        return write
    }

    private fun pageWrite(job: OpenJob, page: Int): Write {
        val firstTask = job.pages.firstTask(page)
        val done = job.progress.slice(firstTask, job.pages.firstTask(page + 1))
        val key = ProgressPageRecord.key(job.spec.id, firstTask)
        val change = Change(key, ProgressPageRecord(firstTask, done).encode())
        val onRejected = { job.pages.pageRejected(page, retryAtMs = context.steady + REJECTED_RETRY_MS) }
        return Write(listOf(change), onRejected) {
            job.pages.pageWritten(page)
            if (job.entry.state != JobState.OPEN) jobs.garbage.collect(key)
            onCompletionsDurable(job, shifted(done, firstTask))
        }
    }

    private fun shifted(done: BitSet, by: Int): BitSet {
        val shifted = BitSet()
        for (index in done.stream()) shifted.set(by + index)
        return shifted
    }

    private companion object {
        const val PAGE_BATCH_MS = 1500L
    }
}
