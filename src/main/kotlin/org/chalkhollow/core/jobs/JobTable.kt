package org.chalkhollow.core.jobs

import it.unimi.dsi.fastutil.ints.IntOpenHashSet
import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.cluster.JobEntry
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.EncodedSize
import org.chalkhollow.core.storage.StateWriter
import org.chalkhollow.core.storage.Write
import org.chalkhollow.model.Change
import org.chalkhollow.model.Interner
import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.JobState
import org.chalkhollow.model.KeyValue
import org.chalkhollow.settings.StateLimits
import org.chalkhollow.wire.Fields
import org.chalkhollow.wire.UserCodec
import java.util.Base64
import java.util.BitSet

/** Owns the jobs: what is accepted, done and cancelled, and how that is written down. */
class JobTable(
    private val context: CoreContext,
    private val names: Interners,
    private val limits: StateLimits,
    private val events: JobEvents = JobEvents.None,
) {
    private val entries = ArrayList<JobEntry>()
    private val openJobs = LinkedHashSet<OpenJob>()
    private val urgent = ArrayDeque<Write>()
    private val trash = ArrayDeque<Write>()

    /** What was refused and is tried again, by when. */
    private val refused = ArrayDeque<Pair<Long, Write>>()
    private val pageTasks = limits.valueBytes * 2 // a page's Base64 text then takes a third of a value

    val open: Collection<OpenJob> get() = openJobs
    val size: Int get() = entries.size

    fun clear() {
        entries.clear()
        openJobs.clear()
        cancelledJobs.clear()
        urgent.clear()
        trash.clear()
        refused.clear()
        names.jobs.clear()
    }

    fun find(id: String): JobEntry? {
        val index = names.jobs.find(id)
        return if (index == Interner.UNKNOWN) null else entries[index]
    }

    private fun entry(id: String, tasks: Int): JobEntry {
        val index = names.jobs.intern(id)
        if (index == entries.size) entries.add(JobEntry(index, tasks))
        return entries[index]
    }

    /** Whether the record of [spec] fits into one value of the state service. */
    fun fits(spec: JobSpec): Boolean = EncodedSize.of(record(spec, 0)) <= limits.valueBytes

    private fun record(spec: JobSpec, wall: Long): Map<String, Any?> =
        mapOf("s" to "open", "at" to wall, "j" to UserCodec.map(spec))

    /**
     * Queues a new job for its durable record; [then] runs once it is accepted, [refused] when its record cannot be
     * written.
     */
    fun accept(spec: JobSpec, refused: () -> Unit, then: () -> Unit) {
        val entry = entry(spec.id, spec.tasks)
        val wall = context.now.wall
        urgent.add(
            Write(listOf(Change(JOB + spec.id, record(spec, wall))), refused) {
                entry.state = JobState.OPEN
                openUp(entry, spec, wall)
                then()
            },
        )
    }

    private fun openUp(entry: JobEntry, spec: JobSpec, wall: Long): OpenJob =
        describe(entry, spec, wall).also {
            entry.open = it
            openJobs.add(it)
            context.changed()
        }

    private fun describe(entry: JobEntry, spec: JobSpec, wall: Long): OpenJob {
        val types = spec.types?.let { list -> IntOpenHashSet(list.map { names.types.intern(it) }) }
        val image = spec.image?.let(names.images::intern) ?: Interner.UNKNOWN
        val zone = spec.zone?.let(names.zones::intern) ?: Interner.UNKNOWN
        return OpenJob(entry, spec, names.teams.find(spec.team), image, types, zone, wall)
    }

    /** Queues the cancellation of an open job; [then] runs once it is durable. */
    fun cancel(job: OpenJob, then: () -> Unit) {
        job.cancelling = true
        val records = cancelledRecords(job)
        val first = records.indexOfFirst { EncodedSize.of(it) <= limits.valueBytes }
        cancel(job, if (first < 0) records.takeLast(1) else records.drop(first), then)
    }

    /** Writes the first of [records], or the next when that is refused; the last is tried again and again. */
    private fun cancel(job: OpenJob, records: List<Map<String, Any?>>, then: () -> Unit) {
        fun write(record: Map<String, Any?>, onRefused: () -> Unit) =
            Write(listOf(Change(JOB + job.spec.id, record)), onRefused) {
                close(job, JobState.CANCELLED)
                events.onJobCancelled(job)
                then()
            }
        if (records.size > 1) {
            urgent.add(write(records.first()) { cancel(job, records.drop(1), then) })
        } else {
            urgent.add(write(records.first()) { later(write(records.first()) { cancel(job, records, then) }) })
        }
    }

    /**
     * What is written of a cancelled job, the fullest first. Its tasks are only waited for, so where they may run can
     * be left out.
     */
    private fun cancelledRecords(job: OpenJob): List<Map<String, Any?>> {
        val last = finalRecord("cancelled", job)
        val spec = UserCodec.map(job.spec)
        val small = spec - "flavours"
        return listOf(
            last + ("j" to spec),
            last + ("j" to small),
            last + ("j" to small - PLACEMENT_ONLY),
            last,
        ).distinct()
    }

    private fun later(write: Write) {
        refused.add(context.steady + AGAIN_MS to write)
    }

    private fun remove(key: String): Write = Write(listOf(Change(key, null)), onRefused = { later(remove(key)) }) {}

    private fun finalRecord(state: String, job: OpenJob): Map<String, Any?> = mapOf("s" to state, "n" to job.spec.tasks)

    private fun close(job: OpenJob, state: JobState) {
        job.entry.state = state
        job.entry.open = null
        openJobs.remove(job)
        for (from in job.writtenPages.iterator()) trash.add(remove(pageKey(job, from)))
    }

    /** Notes that a task has completed; it is written with the next transaction that has room. */
    fun taskDone(job: OpenJob, index: Int) {
        if (!job.markDone(index)) return
        if (job.dirtyPages.isEmpty) job.dirtySince = context.steady
        job.dirtyPages.set(index / pageTasks)
    }

    /** Accepted and cancelled jobs come first. */
    fun nextUrgent(room: StateWriter.Room): Write? {
        while (refused.isNotEmpty() && context.steady >= refused.first().first) urgent.add(refused.removeFirst().second)
        val write = urgent.firstOrNull() ?: return null
        return if (write.fits(room)) urgent.removeFirst() else null
    }

    /** Then completions: jobs that are over at once, others gathered for a while, since writes are few. */
    fun nextCompletion(room: StateWriter.Room, attemptsRecorded: (OpenJob, BitSet) -> Unit): Write? {
        if (room.ops < 1) return null
        // Users wait for the end of a job; pages only spare a later leader some work, and can wait behind it.
        var waiting: OpenJob? = null
        for (job in openJobs) {
            if (job.cancelling || job.sealing || !job.progressDue(context.steady)) continue
            if (job.complete) return sealed(job, attemptsRecorded).takeIf { it.fits(room) }?.also { job.sealing = true }
            if (waiting == null && context.steady - job.dirtySince >= GATHER_MS) waiting = job
        }
        return waiting?.let { page(it, attemptsRecorded, room) }
    }

    private fun sealed(job: OpenJob, recorded: (OpenJob, BitSet) -> Unit): Write {
        val done = job.done.clone() as BitSet
        return Write(listOf(Change(JOB + job.spec.id, finalRecord("done", job))), onRefused = {
            job.sealing = false
            job.writeAfter = context.steady + AGAIN_MS
        }) {
            job.dirtyPages.clear()
            close(job, JobState.DONE)
            recorded(job, done)
            events.onJobDone(job)
        }
    }

    private fun page(job: OpenJob, recorded: (OpenJob, BitSet) -> Unit, room: StateWriter.Room): Write? {
        val page = nextPage(job)
        if (page < 0) return null
        val from = page * pageTasks
        val slice = job.done.get(from, minOf(from + pageTasks, job.spec.tasks))
        val text = Base64.getEncoder().encodeToString(slice.toByteArray())
        val key = pageKey(job, from)
        val write =
            Write(listOf(Change(key, mapOf("b" to text))), onRefused = {
                job.dirtyPages.set(page)
                job.writeAfter = context.steady + AGAIN_MS
            }) {
                job.writtenPages.add(from)
                job.oversized.clear(page)
                job.rewritten.clear(page)
                if (job.entry.state != JobState.OPEN) trash.add(remove(key))
                val done = BitSet()
                for (i in slice.stream()) done.set(from + i)
                recorded(job, done)
            }
        if (!write.fits(room)) return null
        job.dirtyPages.clear(page)
        job.dirtySince = context.steady
        return write
    }

    /**
     * The page to write next, or -1. A version with larger values wrote larger pages: what such a one holds beyond ours
     * must be durable elsewhere before it is overwritten, so those parts go first, the highest before all.
     */
    private fun nextPage(job: OpenJob): Int {
        val highest = job.rewritten.length() - 1
        var page = job.dirtyPages.length() - 1
        while (page >= 0) {
            if (job.rewritten.get(page) && !(job.oversized.get(page) && page < highest)) return page
            page = job.dirtyPages.previousSetBit(page - 1)
        }
        page = job.dirtyPages.nextSetBit(0)
        while (page >= 0 && job.oversized.get(page) && page < highest) page = job.dirtyPages.nextSetBit(page + 1)
        return page
    }

    fun nextTrash(room: StateWriter.Room): Write? {
        val write = trash.firstOrNull() ?: return null
        return if (write.fits(room)) trash.removeFirst() else null
    }

    private fun Write.fits(room: StateWriter.Room): Boolean =
        changes.size <= room.ops && changes.sumOf { EncodedSize.of(it) } <= room.bytes

    private fun pageKey(job: OpenJob, from: Int): String = PROGRESS + job.spec.id + "/" + from

    /** Takes in a row that an earlier leader wrote. */
    fun loadJob(row: KeyValue) {
        val f = Fields.of(row.value, row.key)
        val id = row.key.substring(JOB.length)
        when (f.text("s")) {
            "open" -> {
                val spec = UserCodec.storedJob(Fields.of(f.map["j"], row.key))
                val entry = entry(id, spec.tasks)
                entry.state = JobState.OPEN
                openUp(entry, spec, f.long("at"))
            }
            "done" -> entry(id, f.long("n").toInt()).state = JobState.DONE
            else -> {
                val entry = entry(id, f.long("n").toInt())
                entry.state = JobState.CANCELLED
                // Its tasks may still be on machines, and count against the team's limit until they are gone: an
                // earlier version forgot them at a change of leader and let the team exceed its limit.
                f.map["j"]?.let { spec ->
                    cancelledJobs[id] =
                        lazy { describe(entry, UserCodec.storedJob(Fields.of(spec, row.key)), 0) }
                }
            }
        }
    }

    /** Takes in a page of done tasks; pages of jobs that are over are removed. */
    fun loadPage(row: KeyValue) {
        val parts = row.key.substring(PROGRESS.length).split('/')
        val job = find(parts[0])?.open
        if (job == null) {
            trash.add(remove(row.key))
            return
        }
        val from = parts[1].toInt()
        val bits = BitSet.valueOf(Base64.getDecoder().decode(Fields.of(row.value, row.key).text("b")))
        job.writtenPages.add(from)
        for (i in bits.stream()) job.markDone(from + i)
        if (from % pageTasks != 0 || bits.length() <= pageTasks) return
        job.oversized.set(from / pageTasks)
        var i = bits.nextSetBit(pageTasks)
        while (i >= 0 && from + i < job.spec.tasks) {
            val page = (from + i) / pageTasks
            job.rewritten.set(page)
            job.dirtyPages.set(page)
            i = bits.nextSetBit((page + 1) * pageTasks - from)
        }
        job.dirtyPages.set(from / pageTasks)
    }

    private val cancelledJobs = HashMap<String, Lazy<OpenJob>>()

    /** While loading: the job whose attempts a marker lists, unless all of them are certainly over. */
    fun marked(id: String): OpenJob? = find(id)?.open ?: cancelledJobs[id]?.value

    /** A job whose last page was written but not its end: the end is written now. */
    fun afterLoad() {
        cancelledJobs.clear()
        for (job in openJobs) if (job.complete) job.dirtyPages.set(0)
    }

    companion object {
        const val JOB = "job/"
        const val PROGRESS = "prog/"
        private const val GATHER_MS = 1500L
        private const val AGAIN_MS = 3000L
        private val PLACEMENT_ONLY = setOf("bundle", "pullGb", "site", "dueS")
    }
}
