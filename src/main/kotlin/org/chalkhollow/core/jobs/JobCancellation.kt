package org.chalkhollow.core.jobs

import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.storage.Write
import org.chalkhollow.model.Change
import org.chalkhollow.model.JobState
import org.chalkhollow.settings.StateLimits

/**
 * Cancels jobs. A job is cancelled once its stored record says so, but its tasks are no longer placed from the request
 * on. The record must not be lost: when the state service rejects it, smaller forms of it are tried, and the smallest
 * is retried until it is accepted. Called by `RequestHandler`.
 */
class JobCancellation(private val jobs: JobTable, private val limits: StateLimits, private val events: JobEvents) {
    /** Queues the cancellation of an open job; [onDurable] runs once it is durable. */
    fun cancel(job: OpenJob, onDurable: () -> Unit) {
        job.beginCancellation()
        writeAnyOf(job, JobRecord.encodeCancelled(job.spec, limits.recordBytes), onDurable)
    }

    private fun writeAnyOf(job: OpenJob, records: List<Map<String, Any?>>, onDurable: () -> Unit) {
        val record = records.first()
        val onRejected =
            if (records.size > 1) {
                { writeAnyOf(job, records.drop(1), onDurable) }
            } else {
                { jobs.urgentWrites.retryLater(write(job, record, { writeAnyOf(job, records, onDurable) }, onDurable)) }
            }
        jobs.urgentWrites.add(write(job, record, onRejected, onDurable))
    }

    private fun write(job: OpenJob, record: Map<String, Any?>, onRejected: () -> Unit, onDurable: () -> Unit): Write =
        Write(listOf(Change(JobRecord.key(job.spec.id), record)), onRejected) {
            jobs.end(job, JobState.CANCELLED)
            events.onJobCancelled(job)
            onDurable()
        }
}
