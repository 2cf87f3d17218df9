package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.NEVER
import org.chalkhollow.core.common.StateOp
import org.chalkhollow.core.common.StateReply
import org.chalkhollow.settings.OperatorSettings

/**
 * Owns what a follower knows of the leadership record: its content, since when it is unchanged, and whether its leader
 * released it by stepping down. Here a lease runs from when this controller first saw the revision. That is after it
 * was written, so the lease expires for the leader before it expires here. Called by [Election], and by
 * [Leadership] and [PeerRequestHandler] to report replies and releases.
 */
class LeadershipRecordWatch(
    private val context: CoreContext,
    private val options: OperatorSettings,
    startedAtMs: Long,
) {
    /** The record as it was last read; null if there is none or none was read. */
    var record: LeadershipRecord? = null
        private set

    /** The record's revision; [NO_RECORD] if there is no record, [UNREAD] before the first read. */
    var revision = UNREAD
        private set
    private var unchangedSinceMs = NEVER
    private var readInFlight = false
    private var nextReadAtMs = startedAtMs
    private var repliedAtMs = NEVER

    /**
     * The last fencing token whose leader released its lease. That lease is over, even if the leader has just written.
     */
    private var releasedFencingToken = 0L
    private var releasedAtMs = NEVER

    /** Reads the record when a read is due. [onReply] gets the time of the call, in ms, and the reply. */
    fun readIfDue(onReply: (Long, StateReply) -> Unit) {
        val requestedAtMs = context.steady
        if (readInFlight || requestedAtMs < nextReadAtMs) return
        readInFlight = true
        context.callStateService(StateOp.Read(LeadershipRecord.KEY)) { reply ->
            readInFlight = false
            nextReadAtMs = context.steady + options.leaderRenewMs
            onReply(requestedAtMs, reply)
        }
    }

    fun scheduleRead(atMs: Long) {
        nextReadAtMs = atMs
    }

    fun onStateServiceReply() {
        repliedAtMs = context.steady
    }

    /** Whether the state service replied recently enough to expect that reads and writes succeed. */
    val isStateServiceAvailable: Boolean
        get() = context.steady - repliedAtMs <= options.leaderRenewMs * 2 + READ_SLACK_MS

    /** Whether the state service replied within [recentlyServedWindowMs]; reported to the leader. */
    val isRecentlyServed: Boolean get() = context.steady - repliedAtMs < recentlyServedWindowMs(options)

    /** Stores a record that was read. Returns true if its revision has changed. */
    fun update(newRecord: LeadershipRecord, newRevision: Long): Boolean {
        val changed = newRevision != revision
        if (changed) {
            revision = newRevision
            unchangedSinceMs = context.steady
        }
        record = newRecord
        return changed
    }

    fun onRecordMissing() {
        record = null
        revision = NO_RECORD
    }

    /** Forgets the record and reads it again at once. */
    fun reset() {
        record = null
        revision = UNREAD
        unchangedSinceMs = context.steady
        nextReadAtMs = context.steady
    }

    /** How long the record has been unchanged. */
    fun unchangedMs(): Long = context.steady - unchangedSinceMs

    /** The leader with [fencingToken] has stepped down and released its lease. */
    fun onRelease(fencingToken: Long) {
        releasedFencingToken = fencingToken
        releasedAtMs = context.steady
        nextReadAtMs = context.steady
    }

    /** Whether the leader of [record] released its lease at least [sinceMs] ago, and the record was read since then. */
    fun isReleased(record: LeadershipRecord, sinceMs: Long): Boolean =
        record.fencingToken == releasedFencingToken &&
            context.steady - releasedAtMs >= sinceMs &&
            repliedAtMs > releasedAtMs

    companion object {
        private const val NO_RECORD = 0L
        private const val UNREAD = -1L

        /** How much longer than two renewal periods a read and its reply may take. */
        private const val READ_SLACK_MS = 700L
        private const val SERVED_SLACK_MS = 200L

        /** A peer reports that the state service serves it if it had a reply within this time. */
        fun recentlyServedWindowMs(options: OperatorSettings): Long = options.leaderRenewMs * 2 + SERVED_SLACK_MS
    }
}
