package org.chalkhollow.core.jobs

import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.storage.Write
import org.chalkhollow.model.Change
import org.chalkhollow.model.JobState
import org.chalkhollow.settings.StateLimits

/**
 * Cancels jobs. A job is cancelled once its record says so; from the request on nothing more of it is placed. The
 * record must not be lost: when the state service refuses it, smaller forms of it are tried, the smallest again and
 * again. Called by `RequestHandler`.
 */
class JobCancellation(private val jobs: JobTable, private val limits: StateLimits, private val events: JobEvents) {
    /** Queues the cancellation of an open job; [onDurable] runs once it is durable. */
    fun cancel(job: OpenJob, onDurable: () -> Unit) {
        job.beginCancellation()
        tryRecords(job, JobRecord.encodeCancelled(job.spec, limits.valueBytes), onDurable)
    }

    private fun tryRecords(job: OpenJob, records: List<Map<String, Any?>>, onDurable: () -> Unit) {
        val record = records.first()
        val onRefused =
            if (records.size > 1) {
                { tryRecords(job, records.drop(1), onDurable) }
            } else {
                { jobs.urgentWrites.retryLater(write(job, record, { tryRecords(job, records, onDurable) }, onDurable)) }
            }
        jobs.urgentWrites.add(write(job, record, onRefused, onDurable))
    }

    private fun write(job: OpenJob, record: Map<String, Any?>, onRefused: () -> Unit, onDurable: () -> Unit): Write =
        Write(listOf(Change(JobRecord.key(job.spec.id), record)), onRefused) {
            jobs.end(job, JobState.CANCELLED)
            events.onJobCancelled(job)
            onDurable()
        }
}
