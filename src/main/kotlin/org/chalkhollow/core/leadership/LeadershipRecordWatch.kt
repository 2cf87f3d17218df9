package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.NEVER
import org.chalkhollow.core.common.StateOp
import org.chalkhollow.core.common.StateReply
import org.chalkhollow.settings.OperatorSettings

/**
 * Owns what a follower has seen of the leadership record: its content, since when it has not changed, and whether the
 * leader that wrote it has told that it stepped down. A lease counts from when we first saw a revision, which is after
 * it was written, so it has certainly expired when that long has passed here. Called by [Election], and by
 * [Leadership] and [PeerRequestHandler] for what they learn.
 */
class LeadershipRecordWatch(private val context: CoreContext, private val options: OperatorSettings, startedAt: Long) {
    /** The record as it was read last, or null while there is none or none was read. */
    var record: LeadershipRecord? = null
        private set

    /** The record's revision; [NO_RECORD] if there is none, [UNREAD] before one was read. */
    var revision = UNREAD
        private set
    private var unchangedSince = NEVER
    private var readInFlight = false
    private var nextReadAt = startedAt
    private var answeredAt = NEVER

    /**
     * The last fencing token whose leader has told us that it stepped down: its lease binds nobody, however lately it
     * wrote.
     */
    private var releasedFencingToken = 0L
    private var releasedAt = NEVER

    /** Reads the record when it is due; [onReply] is told when that was asked, and the reply. */
    fun readIfDue(onReply: (Long, StateReply) -> Unit) {
        val requestedAt = context.steady
        if (readInFlight || requestedAt < nextReadAt) return
        readInFlight = true
        context.callStateService(StateOp.Read(LeadershipRecord.KEY)) { reply ->
            readInFlight = false
            nextReadAt = context.steady + options.leaderRenewMs
            onReply(requestedAt, reply)
        }
    }

    fun readAgainAt(moment: Long) {
        nextReadAt = moment
    }

    /** The state service has answered us. */
    fun stateServiceAnswered() {
        answeredAt = context.steady
    }

    /** Whether the state service has answered us so lately that reads and writes can be expected to succeed. */
    val stateServiceAnswers: Boolean
        get() = context.steady - answeredAt <= options.leaderRenewMs * 2 + READ_SLACK_MS

    /** Whether to tell a leader that the state service serves us. */
    val recentlyServed: Boolean get() = context.steady - answeredAt < recentlyServedMs(options)

    /** Takes in a record as it was read; true if its revision is new. */
    fun update(newRecord: LeadershipRecord, newRevision: Long): Boolean {
        val changed = newRevision != revision
        if (changed) {
            revision = newRevision
            unchangedSince = context.steady
        }
        record = newRecord
        return changed
    }

    /** There is no record. */
    fun recordMissing() {
        record = null
        revision = NO_RECORD
    }

    /** What was seen is out of date, and is read anew. */
    fun reset() {
        record = null
        revision = UNREAD
        unchangedSince = context.steady
        nextReadAt = context.steady
    }

    /** For how long the record has not changed. */
    fun unchangedMs(): Long = context.steady - unchangedSince

    /** The leader of [fencingToken] has told that it stepped down. */
    fun onRelease(fencingToken: Long) {
        releasedFencingToken = fencingToken
        releasedAt = context.steady
        nextReadAt = context.steady
    }

    /** Whether the leader of [record] stepped down, told so [sinceMs] ago or before, and the record was read since. */
    fun isReleased(record: LeadershipRecord, sinceMs: Long): Boolean =
        record.fencingToken == releasedFencingToken &&
            context.steady - releasedAt >= sinceMs &&
            answeredAt > releasedAt

    companion object {
        private const val NO_RECORD = 0L
        private const val UNREAD = -1L

        /** A record is read, and its answer seen, within this long beside the two periods of its renewal. */
        private const val READ_SLACK_MS = 700L
        private const val SERVED_SLACK_MS = 200L

        /** A peer that the state service answered within this time says that it is served. */
        fun recentlyServedMs(options: OperatorSettings): Long = options.leaderRenewMs * 2 + SERVED_SLACK_MS
    }
}
