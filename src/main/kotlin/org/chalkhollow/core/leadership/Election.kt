package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.NEVER
import org.chalkhollow.core.common.StateOp
import org.chalkhollow.core.common.StateReply
import org.chalkhollow.core.common.plusClockDrift
import org.chalkhollow.model.Change
import org.chalkhollow.model.Condition
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.wire.MalformedMessageException

/**
 * Owns the way from follower to leader: it watches the leadership record, asks for votes when the leader's lease has
 * expired or was released, and campaigns by a compare-and-swap of the record. It campaigns only with a snapshot that is
 * complete for the record's revision: a leader that does not know what was cancelled must not keep it running. Called
 * by [Leadership].
 */
class Election(
    private val context: CoreContext,
    private val options: OperatorSettings,
    private val self: ControllerIdentity,
    private val state: LeadershipState,
    private val recordWatch: LeadershipRecordWatch,
    private val grantedLease: GrantedFollowerLease,
    private val events: Leadership.Events,
    private val onWon: (Win) -> Unit,
) {
    /**
     * A campaign that succeeded: [record] was sent at [sentAt] and has [revision]; nothing was written between
     * [snapshotRevision] and it.
     */
    class Win(val record: LeadershipRecord, val revision: Long, val sentAt: Long, val snapshotRevision: Long)

    private val votes = VoteCollector(context, self.peers.size, options.followerLeaseMs)

    /** Why this controller may take over the record that it last saw without anybody's vote, or null. */
    private var reasonWithoutVotes: CampaignReason? = null

    /** The fencing token of this incarnation's last term; 0 before its first. */
    private var lastLedFencingToken = 0L

    /** After a step-down this controller leaves leadership to others until then. */
    private var backoffUntil = NEVER

    /** Spreads candidates a little, so that they rarely campaign at once. */
    private val campaignDelayMs = self.rank * CAMPAIGN_STEP_MS

    /** Leaves leadership to the peers for a while. */
    fun backOff() {
        backoffUntil = context.steady + BACKOFF_MS
    }

    /** This controller has stepped down, and what it saw of the record is out of date. */
    fun onSteppedDown() {
        reasonWithoutVotes = null
        recordWatch.reset()
    }

    /** What a follower does at each tick, and when its snapshot is complete. */
    fun follow() {
        recordWatch.readIfDue(::onRecordReply)
        if (!recordWatch.stateServiceAnswers) return // nothing can be read or written now
        reasonWithoutVotes?.let { return takeOverWithoutVotes(it) }
        val record = recordWatch.record ?: return
        val released = recordWatch.isReleased(record, campaignDelayMs)
        val unchangedMs = recordWatch.unchangedMs()
        if (!released && unchangedMs < options.leaderLeaseMs - SNAPSHOT_AHEAD_MS) return
        events.requestSnapshot(recordWatch.revision)
        val leaseOver = released || unchangedMs >= plusClockDrift(options.leaderLeaseMs) + campaignDelayMs
        if (!leaseOver || grantedLease.isBinding) return
        if (events.snapshotComplete(recordWatch.revision)) seekLeadership(record, unchangedMs)
    }

    /** The lease is over and the snapshot complete: campaigns without votes if none are needed, or requests them. */
    private fun seekLeadership(record: LeadershipRecord, unchangedMs: Long) {
        if (self.majority == 1) return campaignWithoutVotes(CampaignReason.ONLY_CONTROLLER)
        if (unchangedMs > plusClockDrift(options.outageLimitMs)) {
            return campaignWithoutVotes(CampaignReason.RECORD_UNCHANGED)
        }
        if (grantedLease.earlierIncarnationMayBind || context.steady < backoffUntil) return
        votes.requestVotes(record, recordWatch.revision)
    }

    /** Takes over without votes, now or once the snapshot is complete. */
    private fun takeOverWithoutVotes(reason: CampaignReason) {
        reasonWithoutVotes = reason
        events.requestSnapshot(recordWatch.revision)
        if (events.snapshotComplete(recordWatch.revision)) campaignWithoutVotes(reason)
    }

    private fun campaignWithoutVotes(reason: CampaignReason) {
        votes.relyOnNoVotes()
        campaign(reason)
    }

    // The leadership record

    private fun onRecordReply(requestedAt: Long, reply: StateReply) {
        if (reply is StateReply.Found || reply is StateReply.Missing) grantedLease.onRecordRead(requestedAt)
        if (state.role != Leadership.Role.FOLLOWER) return
        when (reply) {
            is StateReply.Found -> {
                recordWatch.stateServiceAnswered()
                try {
                    onRecord(LeadershipRecord.of(reply.row), reply.row.revision)
                } catch (e: MalformedMessageException) {
                    context.warn("the leadership record is unreadable: ${e.message}")
                }
            }
            StateReply.Missing -> {
                recordWatch.stateServiceAnswered()
                recordWatch.recordMissing()
                takeOverWithoutVotes(CampaignReason.NO_RECORD)
            }
            else -> recordWatch.readAgainAt(context.steady + READ_RETRY_MS)
        }
    }

    private fun onRecord(record: LeadershipRecord, revision: Long) {
        if (recordWatch.update(record, revision)) {
            reasonWithoutVotes = null
            events.discardSnapshot()
            grantedLease.onRecordChanged(record, revision)
        }
        state.observe(record.fencingToken)
        // An earlier incarnation has ended, and an earlier term of this one was given up: nobody holds that lease. The
        // fencing token rises all the same, since attempt numbers and tokens must not come twice.
        if (wasLedByUs(record) && context.steady >= backoffUntil) takeOverWithoutVotes(CampaignReason.LED_BEFORE)
    }

    /**
     * A record of ours without a write is a campaign that nobody acted on: it may have been applied long after the
     * votes for it were given, and forgotten since. It is like anyone's record that has gone stale.
     */
    private fun wasLedByUs(record: LeadershipRecord): Boolean {
        if (record.owner != self.label) return false
        return record.writes > 0 ||
            record.incarnation == self.incarnation && record.fencingToken == lastLedFencingToken
    }

    // Campaign

    private fun campaign(reason: CampaignReason) {
        val newestFencingToken = maxOf(recordWatch.record?.fencingToken ?: 0, state.fencingToken)
        val record = LeadershipRecord(self.label, self.incarnation, newestFencingToken + 1, 0)
        val snapshotRevision = recordWatch.revision
        state.role = Leadership.Role.CANDIDATE
        reasonWithoutVotes = null
        // No follower lease for an older fencing token while this may still be applied.
        grantedLease.voted(record.fencingToken, snapshotRevision)
        context.info(
            "campaigning for fencing token ${record.fencingToken}: ${reason.description}, " +
                "record unchanged for ${recordWatch.unchangedMs()} ms",
        )
        val sentAt = context.steady
        val condition = Condition(LeadershipRecord.KEY, snapshotRevision)
        val change = Change(LeadershipRecord.KEY, record.value())
        context.callStateService(StateOp.Commit(listOf(condition), listOf(change))) { reply ->
            onCampaignReply(record, snapshotRevision, sentAt, reply)
        }
    }

    private fun onCampaignReply(record: LeadershipRecord, snapshotRevision: Long, sentAt: Long, reply: StateReply) {
        state.role = Leadership.Role.FOLLOWER
        votes.campaignEnded()
        if (reply !is StateReply.Committed) return recordWatch.readAgainAt(context.steady)
        recordWatch.stateServiceAnswered()
        // Too late, the voters may have restarted and forgotten.
        if (!votes.stillBind) return onRecord(record, reply.revision)
        lastLedFencingToken = record.fencingToken
        onWon(Win(record, reply.revision, sentAt, snapshotRevision))
    }

    /** Takes in a peer's answer to a request for votes, and campaigns once a majority has granted it. */
    fun onVote(from: Int, vote: PeerMessage.VoteResponse) {
        if (!votes.answersThisIncarnation(vote)) return context.dropped.count(DroppedInput.MESSAGE_OTHER_INCARNATION)
        val current = votes.answersLastRequest(vote)
        if (!current) votes.onLateAnswer()
        if (state.role != Leadership.Role.FOLLOWER || !current) {
            return context.dropped.count(DroppedInput.MESSAGE_LATE)
        }
        if (!vote.granted || grantedLease.isBinding) return
        val record = recordWatch.record ?: return
        if (vote.fencingToken != record.fencingToken + 1) return context.dropped.count(DroppedInput.MESSAGE_LATE)
        if (votes.add(from) < self.majority || !events.snapshotComplete(recordWatch.revision)) return
        if (leaseIsOver(record)) {
            votes.relyOnVotes()
            campaign(CampaignReason.ELECTED_BY_PEERS)
        }
    }

    private fun leaseIsOver(record: LeadershipRecord): Boolean =
        recordWatch.isReleased(record, 0) || recordWatch.unchangedMs() >= plusClockDrift(options.leaderLeaseMs)

    private companion object {
        const val READ_RETRY_MS = 250L
        const val CAMPAIGN_STEP_MS = 80L
        const val BACKOFF_MS = 8000L

        /** A record that has not changed for nearly the lease is a reason to read what a new leader needs. */
        const val SNAPSHOT_AHEAD_MS = 450L
    }
}
