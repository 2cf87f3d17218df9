package org.chalkhollow.core

import org.chalkhollow.core.attempts.WorkerCommandSender
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.leadership.CandidateSnapshot
import org.chalkhollow.core.leadership.Leadership
import org.chalkhollow.core.leadership.LeadershipRecord
import org.chalkhollow.core.requests.RequestHandler
import org.chalkhollow.core.storage.StateWriter

/**
 * Owns the start and end of a leader term. A term starts with all records that earlier leaders wrote: the snapshot is
 * complete before this controller is elected, so that no leader acts on a part of the records. [EventDispatcher] calls
 * it when this controller wins or loses [Leadership].
 */
internal class LeaderTerm(
    private val context: CoreContext,
    /** The leadership record with this process as its owner. */
    private val ownRecord: LeadershipRecord,
    private val leadership: Leadership,
    private val snapshot: CandidateSnapshot,
    private val records: StoredRecords,
    private val writer: StateWriter,
    private val commands: WorkerCommandSender,
    private val requests: RequestHandler,
) {
    /**
     * Whether the stored records are loaded. True from the start of a term to its end, even while this controller may
     * not act as the leader.
     */
    var recordsLoaded = false
        private set

    /** When the last term started, in monotonic time. */
    var startedAtMs = 0L
        private set

    /** This controller was elected. Nothing was written since the leadership record had [snapshotRevision]. */
    fun start(fencingToken: Long, revision: Long, writes: Long, snapshotRevision: Long) {
        commands.newTerm()
        startedAtMs = context.steady
        records.reset(fencingToken)
        writer.start(ownRecord.copy(fencingToken = fencingToken, writes = writes), revision)
        context.emit(Effect.Timing("takeover", snapshot.ageMs))
        for (row in snapshot.take(snapshotRevision)) {
            if (records.load(row)) writer.rememberRevision(row.key, row.revision)
        }
        recordsLoaded = true
        leadership.ready = true
        requests.open()
        records.complete()
    }

    /** This controller has stepped down. */
    fun end() {
        commands.newTerm()
        recordsLoaded = false
        writer.stop()
        requests.close()
    }
}
