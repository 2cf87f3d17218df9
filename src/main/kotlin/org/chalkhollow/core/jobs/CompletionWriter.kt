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
 * Writes completions of tasks: the end of a job at once, pages of its progress gathered for a while, since writes are
 * few. What a write holds is copied when it is made; tasks that complete later are in a later write. Emptied by the
 * [StateWriter].
 */
class CompletionWriter(
    private val context: CoreContext,
    private val jobs: JobTable,
    private val events: JobEvents,
    /** Called when tasks' completions are durable, so that workers may forget them. */
    private val onRecorded: (OpenJob, BitSet) -> Unit,
) {
    fun next(room: TransactionBudget): Write? {
        if (room.ops < 1) return null
        // Users wait for the end of a job; pages only spare a later leader some work, and can wait behind it.
        var gathered: OpenJob? = null
        for (job in jobs.open) {
            if (job.cancelling || !job.pages.mayWrite(context.steady)) continue
            if (job.complete) return jobCompletion(job, room)
            if (gathered == null && context.steady - job.pages.dirtySinceMs >= GATHER_MS) gathered = job
        }
        return gathered?.let { nextPage(it, room) }
    }

    private fun jobCompletion(job: OpenJob, room: TransactionBudget): Write? {
        val done = job.progress.snapshot()
        val change = Change(JobRecord.key(job.spec.id), JobRecord.encodeDone(job.spec))
        val onRefused = { job.pages.completionRejected(retryAtMs = context.steady + REFUSED_RETRY_MS) }
        val write =
            Write(listOf(change), onRefused) {
                job.pages.completionWritten()
                jobs.end(job, JobState.DONE)
                onRecorded(job, done)
                events.onJobDone(job)
            }
        if (!write.fits(room)) return null
        job.pages.completionSent()
        return write
    }

    private fun nextPage(job: OpenJob, room: TransactionBudget): Write? {
        val page = job.pages.nextToWrite()
        if (page < 0) return null
        val write = pageWrite(job, page)
        if (!write.fits(room)) return null
        job.pages.pageSent(page, context.steady)
        return write
    }

    private fun pageWrite(job: OpenJob, page: Int): Write {
        val firstTask = job.pages.firstTask(page)
        val done = job.progress.slice(firstTask, job.pages.firstTask(page + 1))
        val key = ProgressPageRecord.key(job.spec.id, firstTask)
        val change = Change(key, ProgressPageRecord(firstTask, done).encode())
        val onRefused = { job.pages.pageRejected(page, retryAtMs = context.steady + REFUSED_RETRY_MS) }
        return Write(listOf(change), onRefused) {
            job.pages.pageWritten(page)
            if (job.entry.state != JobState.OPEN) jobs.garbage.collect(key)
            onRecorded(job, shifted(done, firstTask))
        }
    }

    private fun shifted(done: BitSet, by: Int): BitSet {
        val shifted = BitSet()
        for (index in done.stream()) shifted.set(by + index)
        return shifted
    }

    private companion object {
        const val GATHER_MS = 1500L
    }
}
