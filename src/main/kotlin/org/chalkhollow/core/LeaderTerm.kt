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
 * Owns the start and end of a leader's term. A term starts with everything that earlier leaders wrote: the snapshot is
 * complete before this controller is elected, so no leader acts on part of the records. [EventDispatcher] calls it when
 * [Leadership] is won or lost.
 */
internal class LeaderTerm(
    private val context: CoreContext,
    /** Names this process as the owner of the leadership record. */
    private val ownRecord: LeadershipRecord,
    private val leadership: Leadership,
    private val snapshot: CandidateSnapshot,
    private val records: StoredRecords,
    private val writer: StateWriter,
    private val commands: WorkerCommandSender,
    private val requests: RequestHandler,
) {
    /** Whether this controller leads and has loaded the stored records; still true when it is not entitled to act. */
    var recordsLoaded = false
        private set

    /** When the last term started, by the steady clock in milliseconds. */
    var startedAtMs = 0L
        private set

    /** This controller was elected; nothing was written since the leadership record had revision [snapshotRevision]. */
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

    /** This controller leads no more. */
    fun end() {
        commands.newTerm()
        recordsLoaded = false
        writer.stop()
        requests.close()
    }
}
