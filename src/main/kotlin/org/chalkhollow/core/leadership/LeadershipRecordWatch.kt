package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.NEVER
import org.chalkhollow.core.common.StateOp
import org.chalkhollow.core.common.StateReply
import org.chalkhollow.settings.OperatorSettings

/**
 * Owns what a follower has seen of the leadership record: its content, since when it has not changed, and whether the
 * leader that wrote it has told that it gave up. A lease counts from when we first saw a stamp, which is after it was
 * written, so it has certainly run out when that long has passed here. Called by [Leadership].
 */
class LeadershipRecordWatch(private val context: CoreContext, private val options: OperatorSettings, startedAt: Long) {
    var record: LeadershipRecord? = null
        private set

    /** The record's stamp; 0 if there is none, negative before one was read. */
    var revision = -1L
        private set
    private var since = NEVER
    private var reading = false
    private var readDueAt = startedAt
    private var servedAt = NEVER

    /**
     * The last generation whose leader has told us that it gave up: its lease binds nobody, however lately it wrote.
     */
    private var releasedFencingToken = 0L
    private var releasedAt = NEVER

    /** Reads the record when it is due; [onReply] is told when that was asked, and the reply. */
    fun readIfDue(t: Long, onReply: (Long, StateReply) -> Unit) {
        if (reading || t < readDueAt) return
        reading = true
        context.callStateService(StateOp.Read(LeadershipRecord.KEY)) { reply ->
            reading = false
            readDueAt = context.steady + options.leaderRenewMs
            onReply(t, reply)
        }
    }

    fun readAgainAt(t: Long) {
        readDueAt = t
    }

    /** The state service has answered us. */
    fun served() {
        servedAt = context.steady
    }

    /** How long ago the state service last answered us. */
    val servedMsAgo: Long get() = context.steady - servedAt

    /** Takes in a record as it was read; true if its stamp is new. */
    fun saw(newRecord: LeadershipRecord, newRevision: Long): Boolean {
        val changed = newRevision != revision
        if (changed) {
            revision = newRevision
            since = context.steady
        }
        record = newRecord
        return changed
    }

    fun sawNone() {
        record = null
        revision = 0
    }

    /** What was seen is out of date, and is read anew. */
    fun forget() {
        record = null
        revision = -1
        since = context.steady
        readDueAt = context.steady
    }

    /** How long the record has not changed. */
    fun staleMs(): Long = context.steady - since

    fun onRelease(fencingToken: Long) {
        releasedFencingToken = fencingToken
        releasedAt = context.steady
        readDueAt = context.steady
    }

    /** Whether the leader of [record] has said that it gave up, [sinceMs] ago, and the record was read since. */
    fun released(record: LeadershipRecord, sinceMs: Long): Boolean =
        record.fencingToken == releasedFencingToken && context.steady - releasedAt >= sinceMs && servedAt > releasedAt
}
