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
 * Takes a controller from follower to leader. It watches the leadership record, requests votes when the leader's lease
 * has expired or was released, and campaigns by a compare-and-swap of the record. It campaigns only with a snapshot
 * that is complete for the record's revision, because a leader that does not know about a cancellation would keep the
 * tasks running. Called by [Leadership].
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
     * A campaign that succeeded: [record] was sent at [sentAtMs] and is stored at [revision]. Nothing was written
     * between [snapshotRevision] and that revision.
     */
    class Win(val record: LeadershipRecord, val revision: Long, val sentAtMs: Long, val snapshotRevision: Long)

    private val votes = VoteCollector(context, self.peers.size, options.followerLeaseMs)

    /** Why this controller may campaign without votes, by the record that it last read; null if it may not. */
    private var reasonWithoutVotes: CampaignReason? = null

    /** The fencing token of the last term of this incarnation; 0 before its first term. */
    private var lastLedFencingToken = 0L

    /** Until then, after a step-down, this controller requests no votes and does not reclaim its own record. */
    private var backoffUntilMs = NEVER

    /** Differs between controllers, so that they rarely campaign at the same time. */
    private val campaignDelayMs = self.rank * CAMPAIGN_DELAY_PER_RANK_MS

    /** Leaves leadership to the peers for [BACKOFF_MS]. */
    fun backOff() {
        backoffUntilMs = context.steady + BACKOFF_MS
    }

    /** This controller has stepped down; what it knows of the record is out of date. */
    fun onSteppedDown() {
        reasonWithoutVotes = null
        recordWatch.reset()
    }

    /** The work of a follower at each tick, and when its snapshot is complete. */
    fun follow() {
        recordWatch.readIfDue(::onRecordReply)
        if (!recordWatch.isStateServiceAvailable) return
        reasonWithoutVotes?.let { return takeOverWithoutVotes(it) }
        val record = recordWatch.record ?: return
        val isReleased = recordWatch.isReleased(record, campaignDelayMs)
        val unchangedMs = recordWatch.unchangedMs()
        if (!isReleased && unchangedMs < options.leaderLeaseMs - SNAPSHOT_LEAD_TIME_MS) return
        events.requestSnapshot(recordWatch.revision)
        val isLeaseOver = isReleased || unchangedMs >= plusClockDrift(options.leaderLeaseMs) + campaignDelayMs
        if (!isLeaseOver || grantedLease.isBinding) return
        if (events.snapshotComplete(recordWatch.revision)) seekLeadership(record, unchangedMs)
    }

    /**
     * The lease is over and the snapshot is complete: campaigns if no votes are needed, and otherwise requests them.
     */
    private fun seekLeadership(record: LeadershipRecord, unchangedMs: Long) {
        if (self.majority == 1) return campaignWithoutVotes(CampaignReason.ONLY_CONTROLLER)
        if (unchangedMs > plusClockDrift(options.outageLimitMs)) {
            return campaignWithoutVotes(CampaignReason.RECORD_UNCHANGED)
        }
        if (grantedLease.earlierIncarnationMayBind || context.steady < backoffUntilMs) return
        votes.requestVotes(record, recordWatch.revision)
    }

    /** Campaigns without votes, at once or when the snapshot is complete. */
    private fun takeOverWithoutVotes(reason: CampaignReason) {
        reasonWithoutVotes = reason
        events.requestSnapshot(recordWatch.revision)
        if (events.snapshotComplete(recordWatch.revision)) campaignWithoutVotes(reason)
    }

    private fun campaignWithoutVotes(reason: CampaignReason) {
        votes.relyOnNoVotes()
        campaign(reason)
    }

    private fun onRecordReply(requestedAtMs: Long, reply: StateReply) {
        if (reply is StateReply.Found || reply is StateReply.Missing) grantedLease.onRecordRead(requestedAtMs)
        if (state.role != Leadership.Role.FOLLOWER) return
        when (reply) {
            is StateReply.Found -> {
                recordWatch.onStateServiceReply()
                try {
                    onRecord(LeadershipRecord.of(reply.row), reply.row.revision)
                } catch (e: MalformedMessageException) {
                    context.warn(
                        "the leadership record at revision ${reply.row.revision} is malformed: ${e.message}; " +
                            "reading it again in ${options.leaderRenewMs} ms",
                    )
                }
            }
            StateReply.Missing -> {
                recordWatch.onStateServiceReply()
                recordWatch.onRecordMissing()
                takeOverWithoutVotes(CampaignReason.NO_RECORD)
            }
            else -> recordWatch.scheduleRead(context.steady + READ_RETRY_MS)
        }
    }

    private fun onRecord(record: LeadershipRecord, revision: Long) {
        if (recordWatch.update(record, revision)) {
            reasonWithoutVotes = null
            events.discardSnapshot()
            grantedLease.onRecordChanged(record, revision)
        }
        state.observe(record.fencingToken)
        // No process holds the lease of such a record: its incarnation has ended, or this one has stepped down. The
        // campaign still increments the fencing token, because tokens and attempt numbers must not be used twice.
        if (wasLedByThisController(record) && context.steady >= backoffUntilMs) {
            takeOverWithoutVotes(CampaignReason.LED_BEFORE)
        }
    }

    /**
     * Whether this controller was the leader under [record]. If the record counts no writes and is not that of this
     * incarnation's last term, the campaign may not have led to a term: its write may have been applied after the votes
     * for it had expired, and voters that restarted have forgotten them. This controller then waits as it does for
     * another controller's record.
     */
    private fun wasLedByThisController(record: LeadershipRecord): Boolean {
        if (record.owner != self.label) return false
        return record.writes > 0 ||
            record.incarnation == self.incarnation && record.fencingToken == lastLedFencingToken
    }

    private fun campaign(reason: CampaignReason) {
        val newestFencingToken = maxOf(recordWatch.record?.fencingToken ?: 0, state.fencingToken)
        val record = LeadershipRecord(self.label, self.incarnation, newestFencingToken + 1, 0)
        val snapshotRevision = recordWatch.revision
        state.role = Leadership.Role.CANDIDATE
        reasonWithoutVotes = null
        // While this write may still be applied, this controller must grant no follower lease for an older fencing
        // token.
        grantedLease.onVoted(record.fencingToken, snapshotRevision)
        context.info(
            "campaigning for fencing token ${record.fencingToken}: ${reason.description}, " +
                "record unchanged for ${recordWatch.unchangedMs()} ms",
        )
        val sentAtMs = context.steady
        val condition = Condition(LeadershipRecord.KEY, snapshotRevision)
        val change = Change(LeadershipRecord.KEY, record.value())
        context.callStateService(StateOp.Commit(listOf(condition), listOf(change))) { reply ->
            onCampaignReply(record, snapshotRevision, sentAtMs, reply)
        }
    }

    private fun onCampaignReply(record: LeadershipRecord, snapshotRevision: Long, sentAtMs: Long, reply: StateReply) {
        state.role = Leadership.Role.FOLLOWER
        votes.campaignEnded()
        if (reply !is StateReply.Committed) return recordWatch.scheduleRead(context.steady)
        recordWatch.onStateServiceReply()
        // The votes have expired; voters may have restarted and forgotten them.
        if (!votes.areVotesValid) return onRecord(record, reply.revision)
        lastLedFencingToken = record.fencingToken
        onWon(Win(record, reply.revision, sentAtMs, snapshotRevision))
    }

    /** Handles a peer's response to a vote request. Campaigns once a majority has voted for this controller. */
    fun onVote(from: Int, vote: PeerMessage.VoteResponse) {
        if (!votes.isForThisIncarnation(vote)) return context.dropped.count(DroppedInput.MESSAGE_OTHER_INCARNATION)
        val isCurrent = votes.isForLastRequest(vote)
        if (!isCurrent) votes.onLateVote()
        if (state.role != Leadership.Role.FOLLOWER || !isCurrent) {
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
        const val CAMPAIGN_DELAY_PER_RANK_MS = 80L
        const val BACKOFF_MS = 8000L

        /** A follower starts to read the snapshot this long before the leader lease expires. */
        const val SNAPSHOT_LEAD_TIME_MS = 450L
    }
}
