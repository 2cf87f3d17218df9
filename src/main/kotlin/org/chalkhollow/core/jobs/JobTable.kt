package org.chalkhollow.core.jobs

import it.unimi.dsi.fastutil.ints.IntOpenHashSet
import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.cluster.JobEntry
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.EncodedSize
import org.chalkhollow.core.storage.Write
import org.chalkhollow.model.Change
import org.chalkhollow.model.Interner
import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.JobState
import org.chalkhollow.model.KeyValue
import org.chalkhollow.settings.StateLimits

/**
 * Owns which jobs exist and the durable state of each: an entry for every job that was ever accepted, and an [OpenJob]
 * for those that are neither done nor cancelled. An entry changes its state only when the record of the change is
 * durable. Loaded by the controller when it becomes leader; jobs are accepted by `RequestHandler`, cancelled by
 * [JobCancellation] and completed by [CompletionWriter].
 */
class JobTable(private val context: CoreContext, private val names: Interners, private val limits: StateLimits) {
    private val entries = ArrayList<JobEntry>()
    private val openJobs = LinkedHashSet<OpenJob>()

    /** While loading: cancelled jobs whose tasks may still be on machines, built when a dispatch marker names them. */
    private val cancelledJobs = HashMap<String, Lazy<OpenJob>>()

    val urgentWrites = UrgentWrites(context)
    val garbage = KeyGarbageCollector(urgentWrites)

    /** The jobs that are neither done nor cancelled, in the order of acceptance. */
    val open: Collection<OpenJob> get() = openJobs
    val size: Int get() = entries.size

    fun clear() {
        entries.clear()
        openJobs.clear()
        cancelledJobs.clear()
        urgentWrites.clear()
        garbage.clear()
        names.jobs.clear()
    }

    fun find(id: String): JobEntry? {
        val index = names.jobs.find(id)
        return if (index == Interner.UNKNOWN) null else entries[index]
    }

    /** Whether the record of [spec] fits into one value of the state service. */
    fun recordFits(spec: JobSpec): Boolean = EncodedSize.of(JobRecord.encodeOpen(spec, 0)) <= limits.recordBytes

    /**
     * Queues the record of a new job. [onAccepted] runs when the record is durable, [onRejected] when the state service
     * rejects it.
     */
    fun accept(spec: JobSpec, onRejected: () -> Unit, onAccepted: () -> Unit) {
        val entry = findOrAddEntry(spec.id, spec.tasks)
        val wallMs = context.now.wall
        val change = Change(JobRecord.key(spec.id), JobRecord.encodeOpen(spec, wallMs))
        urgentWrites.add(
            Write(listOf(change), onRejected) {
                entry.accepted()
                addOpenJob(entry, spec, wallMs)
                onAccepted()
            },
        )
    }

    /** The record that [job] is done or cancelled is durable: ends the job and deletes its progress pages. */
    internal fun end(job: OpenJob, state: JobState) {
        job.entry.ended(state)
        openJobs.remove(job)
        for (firstTask in job.pages.stored.iterator()) {
            garbage.collect(ProgressPageRecord.key(job.spec.id, firstTask))
        }
    }

    private fun findOrAddEntry(id: String, tasks: Int): JobEntry {
        val index = names.jobs.intern(id)
        if (index == entries.size) entries.add(JobEntry(index, tasks))
        return entries[index]
    }

    private fun addOpenJob(entry: JobEntry, spec: JobSpec, acceptedWallMs: Long) {
        val job = buildJob(entry, spec, acceptedWallMs)
        entry.opened(job)
        openJobs.add(job)
        context.changed()
    }

    private fun buildJob(entry: JobEntry, spec: JobSpec, acceptedWallMs: Long): OpenJob {
        val types = spec.types?.let { list -> IntOpenHashSet(list.map { names.types.intern(it) }) }
        val image = spec.image?.let(names.images::intern) ?: Interner.UNKNOWN
        val zone = spec.zone?.let(names.zones::intern) ?: Interner.UNKNOWN
        val tasksPerPage = ProgressPageRecord.tasksPerPage(limits.valueBytes)
        return OpenJob(entry, spec, names.teams.find(spec.team), image, types, zone, acceptedWallMs, tasksPerPage)
    }

    // Loading

    /** Loads the record of a job that an earlier leader wrote. */
    fun loadJob(row: KeyValue) {
        val id = JobRecord.jobId(row)
        when (val record = JobRecord.decode(row)) {
            is JobRecord.Open -> {
                val entry = findOrAddEntry(id, record.spec.tasks)
                // Before the time of acceptance is read: a job whose time is unreadable must not be accepted again.
                entry.accepted()
                addOpenJob(entry, record.spec, record.acceptedWallMs())
            }
            is JobRecord.Done -> findOrAddEntry(id, record.tasks).ended(JobState.DONE)
            is JobRecord.Cancelled -> loadCancelled(id, record)
        }
    }

    /**
     * A cancelled job's tasks may still be on machines, and count against the team's limit until they are confirmed
     * absent. An earlier version dropped them at a change of leader and let the team exceed its limit.
     */
    private fun loadCancelled(id: String, record: JobRecord.Cancelled) {
        val entry = findOrAddEntry(id, record.tasks)
        entry.ended(JobState.CANCELLED)
        if (record.hasSpec) cancelledJobs[id] = lazy { buildJob(entry, record.readSpec(), 0) }
    }

    /** Loads a page of done tasks; pages of jobs that are not open are deleted. */
    fun loadPage(row: KeyValue) {
        val job = find(ProgressPageRecord.jobId(row))?.open ?: return garbage.collect(row.key)
        val page = ProgressPageRecord.decode(row)
        for (index in page.done.stream()) job.restoreCompletion(page.firstTask + index)
        job.pages.loaded(page.firstTask, page.done, job.spec.tasks)
    }

    /**
     * While loading: returns the job with this id if attempts that a dispatch marker lists may still be on machines.
     * Returns null for jobs that are done or unknown, and for cancelled jobs whose record has no spec. Called by
     * `DispatchLog`.
     */
    fun findForMarker(id: String): OpenJob? = find(id)?.open ?: cancelledJobs[id]?.value

    /**
     * All records are loaded. Jobs whose tasks are all done, but whose own completion was not written, have it written
     * now.
     */
    fun finishLoading() {
        cancelledJobs.clear()
        for (job in openJobs) if (job.complete) job.pages.completionMissing()
    }
}
