package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.NEVER
import org.chalkhollow.core.common.plusClockDrift
import org.chalkhollow.settings.OperatorSettings

/**
 * Owns what this controller has promised to leaders and voted for. No vote is given against a promise, and no promise
 * against a vote, also not against those of an earlier life of this process, which it has forgotten: they are waited
 * out. Called by [Leadership].
 */
class GrantedFollowerLease(
    private val context: CoreContext,
    private val options: OperatorSettings,
    /** When this process began: an earlier life of it had ended by then, and gave its last promise and vote before. */
    private val begunAt: Long,
) {
    private var promisedUntil = NEVER
    private var votedFencingToken = 0L
    private var votedRevision = 0L

    /**
     * Whether a record was read that was asked for once every vote of an earlier life had run out. Until then this
     * process may have voted for a leader that it does not know of any more, and promises nothing: an earlier version
     * promised an older leader at once after a quick restart, and then two were entitled.
     */
    private var knowsRecord = false

    /** Whether a promise binds this controller not to stand and not to vote. */
    val bind: Boolean get() = context.steady < promisedUntil

    /** Whether what an earlier life promised may still bind. */
    val earlierLifeMayBind: Boolean get() = context.steady - begunAt < plusClockDrift(options.followerLeaseMs)

    /** The record was read, or found missing, as was asked for at [askedAt]. */
    fun recordRead(askedAt: Long) {
        if (askedAt - begunAt >= plusClockDrift(options.followerLeaseMs)) knowsRecord = true
    }

    /** A record is newer than what we voted on, and of an older generation: that vote has come to nothing. */
    fun recordChanged(record: LeadershipRecord, revision: Long) {
        if (revision > votedRevision && record.fencingToken < votedFencingToken) votedFencingToken = record.fencingToken
    }

    /** The leader that we promised has given up. */
    fun release() {
        promisedUntil = NEVER
    }

    /** Promises the leader of [fencingToken] not to stand against it, if it may. */
    fun promise(fencingToken: Long): Boolean {
        if (!knowsRecord || fencingToken < votedFencingToken) return false
        promisedUntil = maxOf(promisedUntil, context.steady + options.followerLeaseMs)
        return true
    }

    /** Whether a vote may be given at all now. */
    val mayVote: Boolean get() = !bind && !earlierLifeMayBind

    /** A vote was given; our own binds us like any other. */
    fun voted(fencingToken: Long, revision: Long) {
        votedFencingToken = maxOf(votedFencingToken, fencingToken)
        votedRevision = maxOf(votedRevision, revision)
    }
}
