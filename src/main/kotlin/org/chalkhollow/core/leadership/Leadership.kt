package org.chalkhollow.core.leadership

import org.chalkhollow.core.Controller
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.NEVER
import org.chalkhollow.core.common.StateOp
import org.chalkhollow.core.common.StateReply
import org.chalkhollow.core.common.minusClockDrift
import org.chalkhollow.core.common.plusClockDrift
import org.chalkhollow.model.Change
import org.chalkhollow.model.Condition
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.wire.Malformed

/**
 * Owns who leads. The leadership record is a lease: every write of the leader changes its stamp, and a follower may
 * take over only after it has seen the same stamp for longer than any renewal is good for. Beside it stand the peers'
 * promises: while a majority (the leader counted) has promised not to stand, the leader stays entitled although the
 * state service serves nobody, because a candidate needs the votes of a majority, and no vote is given against a
 * promise. A candidate without votes has to wait out [OperatorSettings.outageLimitMs], beyond which no leader acts on
 * promises. Its parts are [LeadershipRecordWatch], [GrantedFollowerLease], [FollowerLeases] and [Candidacy];
 * [Controller] calls it.
 */
class Leadership(
    private val context: CoreContext,
    private val label: String,
    private val peers: List<String>,
    private val incarnation: Long,
    private val options: OperatorSettings,
    private val startedAt: Long,
    /** When this process began: an earlier life of it had ended by then, and gave its last promise and vote before. */
    begunAt: Long,
    private val events: Events,
) {
    interface Events {
        /**
         * To read all that leaders have written, from now on, when the leadership record has [revision]. Every write
         * raises the record, so if it still has that stamp when this controller takes over, what was read is all there
         * is.
         */
        fun prepare(revision: Long)

        /** Whether all was read since the record had [revision]. */
        fun prepared(revision: Long): Boolean

        /** What was read is out of date. */
        fun unprepare()

        /** This controller leads; nothing was written since the record had [basis], for which it is prepared. */
        fun onElected(fencingToken: Long, revision: Long, writes: Long, basis: Long)

        fun onDeposed()
    }

    enum class Role { FOLLOWER, CANDIDATE, LEADER }

    var role = Role.FOLLOWER
        private set

    /** The generation that this controller leads, or the newest that it has heard of. */
    var fencingToken = 0L
        private set

    /** Index of the peer that leads as far as known, or -1. */
    var leaderPeer = -1
        private set
    private var leaderHeardAt = NEVER
    private var leaderReady = false
    private val majority = (peers.size + 1) / 2 + 1
    private val watch = LeadershipRecordWatch(context, options, startedAt)
    private val given = GrantedFollowerLease(context, options, begunAt)
    private val held = FollowerLeases(context, peers.size, options.followerLeaseMs)
    private val candidacy = Candidacy(context, peers.size, options.followerLeaseMs)

    /** Why this controller may take over the record that it last saw without anybody's vote, or null. */
    private var claim: String? = null
    private var ledFencingToken = 0L
    private var electedAt = NEVER
    private var renewedAt = NEVER
    private var failingSince = NEVER
    private var makesWaySince = NEVER

    /** Having made way, this controller leaves the lead to others until then. */
    private var yieldsUntil = NEVER

    /** A peer that was served within this time says that it is. */
    private val servedMs = options.leaderRenewMs * 2 + SERVED_SLACK_MS

    /** Spreads candidates a little, so that they rarely stand at once. */
    private val candidacyOffset = peers.count { it < label } * CANDIDACY_STEP_MS

    /** Which controllers the workers reach. */
    val heartbeatTraffic = HeartbeatTraffic(peers.size)

    /** Set once the leader has rebuilt its view and takes users' requests. */
    var ready = false
    private var wasEntitled = false

    /** Whether this controller may act for all at this moment. */
    fun entitled(): Boolean {
        if (role != Role.LEADER) return false
        val t = context.steady
        if (t < renewedAt + minusClockDrift(options.leaderLeaseMs)) return true
        return t < held.majorityUntil() && t < renewedAt + minusClockDrift(options.outageLimitMs)
    }

    /** The leader to send others to, or -1 if none was heard of lately. */
    fun reachableLeader(): Int = if (leaderPeer >= 0 && context.steady - leaderHeardAt < HEARD_MS) leaderPeer else -1

    fun leaderIsReady(): Boolean = leaderReady

    /** Whether this controller leads, has heard from a leader within [ms], or has only just begun to listen for one. */
    fun inTouch(ms: Long): Boolean = entitled() || context.steady - maxOf(leaderHeardAt, startedAt) < ms

    fun tick() {
        val t = context.steady
        noteEntitlement(t)
        when (role) {
            Role.LEADER -> lead(t)
            Role.FOLLOWER -> follow(t)
            Role.CANDIDATE -> Unit
        }
    }

    private fun noteEntitlement(t: Long) {
        val now = entitled()
        if (now == wasEntitled) return
        wasEntitled = now
        if (role != Role.LEADER) return
        if (now) return context.info("entitled to lead again")
        val renewal = "last renewal ${t - renewedAt} ms ago"
        val promises = "promises for ${held.majorityUntil() - t} ms"
        context.warn("not entitled to lead: $renewal, $promises, reports go unanswered")
    }

    // Following

    private fun follow(t: Long) {
        watch.readIfDue(t, ::onRead)
        if (watch.servedMsAgo > options.leaderRenewMs * 2 + READ_SLACK_MS) return // nothing can be read or written now
        claim?.let { return claimed(it) }
        val record = watch.record ?: return
        val released = watch.released(record, candidacyOffset)
        val stale = watch.staleMs()
        if (!released && stale < options.leaderLeaseMs - PREPARE_AHEAD_MS) return
        events.prepare(watch.revision)
        val free = released || stale >= plusClockDrift(options.leaderLeaseMs) + candidacyOffset
        if (free && !given.bind && events.prepared(watch.revision)) seekLead(record, stale, t)
    }

    private fun seekLead(record: LeadershipRecord, stale: Long, t: Long) {
        if (stale > plusClockDrift(options.outageLimitMs) || majority == 1) {
            candidacy.useNone()
            return stand(if (majority == 1) "alone" else "record unchanged for $stale ms")
        }
        if (!given.earlierLifeMayBind && t >= yieldsUntil) candidacy.askVotes(record, watch.revision)
    }

    /**
     * Takes over without votes, once all is read: a leader that does not know what was cancelled must not keep it
     * running.
     */
    private fun claimed(why: String) {
        claim = why
        events.prepare(watch.revision)
        if (!events.prepared(watch.revision)) return
        candidacy.useNone()
        stand(why)
    }

    /** What [Events.prepare] asked for was read. */
    fun onPrepared() {
        if (role == Role.FOLLOWER) follow(context.steady)
    }

    private fun onRead(askedAt: Long, reply: StateReply) {
        if (reply is StateReply.Found || reply is StateReply.Missing) given.recordRead(askedAt)
        if (role != Role.FOLLOWER) return
        when (reply) {
            is StateReply.Found -> {
                watch.served()
                try {
                    onRecord(LeadershipRecord.of(reply.row), reply.row.revision)
                } catch (e: Malformed) {
                    context.warn("the leadership record is unreadable: ${e.message}")
                }
            }
            StateReply.Missing -> {
                watch.served()
                watch.sawNone()
                claimed("no record yet")
            }
            else -> watch.readAgainAt(context.steady + RETRY_MS)
        }
    }

    private fun onRecord(record: LeadershipRecord, revision: Long) {
        if (watch.saw(record, revision)) {
            claim = null
            events.unprepare()
            given.recordChanged(record, revision)
        }
        if (record.fencingToken > fencingToken) fencingToken = record.fencingToken
        // An earlier life has ended, and an earlier term of this life was given up: nobody holds that lease.
        // The generation rises all the same, since attempt numbers and tokens must not come twice.
        // A record of ours without a write is a take-over that nobody acted on: it may have been applied long after the
        // votes for it were given, and forgotten since. It is like anyone's record that has gone stale.
        if (heldByUs(record) && context.steady >= yieldsUntil) claimed("this controller led before")
    }

    private fun heldByUs(record: LeadershipRecord): Boolean {
        if (record.owner != label) return false
        return record.writes > 0 || record.incarnation == incarnation && record.fencingToken == ledFencingToken
    }

    // Standing

    private fun stand(why: String) {
        val newest = maxOf(watch.record?.fencingToken ?: 0, fencingToken)
        val record = LeadershipRecord(label, incarnation, newest + 1, 0)
        val basis = watch.revision
        role = Role.CANDIDATE
        claim = null
        // No promise to an older generation while this may still be applied.
        given.voted(record.fencingToken, basis)
        context.info("standing for generation ${record.fencingToken}: $why")
        val sentAt = context.steady
        val condition = Condition(LeadershipRecord.KEY, basis)
        val commit = StateOp.Commit(listOf(condition), listOf(Change(LeadershipRecord.KEY, record.value())))
        context.callStateService(commit) { reply ->
            role = Role.FOLLOWER
            candidacy.end()
            if (reply is StateReply.Committed) {
                watch.served()
                // Too late, the voters may have restarted and forgotten.
                if (candidacy.votesHold) {
                    becomeLeader(
                        record,
                        reply.revision,
                        sentAt,
                        basis,
                    )
                } else {
                    onRecord(record, reply.revision)
                }
            } else {
                watch.readAgainAt(context.steady)
            }
        }
    }

    private fun becomeLeader(record: LeadershipRecord, revision: Long, at: Long, basis: Long) {
        role = Role.LEADER
        fencingToken = record.fencingToken
        ledFencingToken = fencingToken
        renewedAt = at
        electedAt = context.steady
        failingSince = NEVER
        leaderPeer = -1
        makesWaySince = NEVER
        held.start()
        context.info("leading generation $fencingToken")
        events.onElected(fencingToken, revision, record.writes, basis)
        lead(context.steady)
    }

    // Leading

    private fun lead(t: Long) {
        if (servedElsewhere(t)) {
            // Nobody renews the workers' leases from here until a peer leads, and if the state service falls silent for
            // all in between, nobody does until it is back. So the lead is given up only once a peer could take it at
            // once.
            if (makesWaySince == NEVER) makesWaySince = t
            if (held.anyPrepared || t - makesWaySince > PREPARE_WAIT_MS) {
                return makeWay("the state service serves others but not this controller")
            }
        } else {
            makesWaySince = NEVER
        }
        if (t - electedAt > HeartbeatTraffic.WINDOW_MS && heartbeatTraffic.lost(t)) {
            yieldsUntil = t + YIELD_MS
            return makeWay("workers reach other controllers but not this one")
        }
        held.askIfDue(fencingToken, ready)
    }

    /**
     * Peers were served by the state service after it had begun to refuse us: this is no outage, so make way. What they
     * say when an outage begins is still about the time before it; an earlier version took that for later and stepped
     * down, and with no leader until the outage was over all tasks were lost.
     */
    private fun servedElsewhere(t: Long): Boolean =
        failingSince != NEVER && t > failingSince && held.servedAfter(failingSince + servedMs + SERVED_MARGIN_MS)

    private fun makeWay(why: String) {
        // No longer entitled from here on, so the promises given to us bind nobody any more.
        for (p in peers.indices) context.emit(Effect.Send(p, PeerMessage.LeadershipRelease(fencingToken)))
        depose(why)
    }

    /** A write that was sent at [sentAt] was confirmed: the lease runs from then. */
    fun renewed(sentAt: Long) {
        if (sentAt > renewedAt) renewedAt = sentAt
        failingSince = NEVER
        watch.served()
    }

    /** A write was refused, or is without an answer although it was sent at [sentAt]. */
    fun writeFailed(sentAt: Long = context.steady) {
        if (failingSince == NEVER) failingSince = sentAt
    }

    /** Someone else's record stands where ours should: stop at once. */
    fun depose(why: String) {
        if (role != Role.LEADER) return
        context.info("no longer leading generation $fencingToken: $why")
        role = Role.FOLLOWER
        ready = false
        claim = null
        watch.forget()
        events.onDeposed()
    }

    // Peers' messages

    fun onPeer(from: Int, message: PeerMessage) {
        when (message) {
            is PeerMessage.FollowerLeaseRequest -> onPromiseAsk(from, message)
            is PeerMessage.FollowerLeaseResponse -> onPromise(from, message)
            is PeerMessage.LeadershipRelease -> onRelease(from, message)
            is PeerMessage.VoteRequest -> onVoteAsk(from, message)
            is PeerMessage.VoteResponse -> onVote(from, message)
            else -> Unit
        }
    }

    private fun onRelease(from: Int, release: PeerMessage.LeadershipRelease) {
        if (from != leaderPeer || release.fencingToken != fencingToken) {
            return context.dropped.count(DroppedInput.MESSAGE_LATE)
        }
        given.release()
        leaderHeardAt = NEVER
        watch.onRelease(release.fencingToken)
    }

    private fun onPromiseAsk(from: Int, ask: PeerMessage.FollowerLeaseRequest) {
        val follows = ask.fencingToken >= fencingToken && role == Role.FOLLOWER
        val granted = follows && given.promise(ask.fencingToken)
        if (follows) {
            fencingToken = ask.fencingToken
            leaderPeer = from
            leaderHeardAt = context.steady
            leaderReady = ask.ready
        }
        val served = watch.servedMsAgo < servedMs
        val heartbeats = heartbeatTraffic.here(context.steady)
        val prepared = events.prepared(watch.revision)
        context.emit(
            Effect.Send(
                from,
                PeerMessage.FollowerLeaseResponse(ask.fencingToken, ask.seq, granted, served, heartbeats, prepared),
            ),
        )
    }

    private fun onPromise(from: Int, promise: PeerMessage.FollowerLeaseResponse) {
        if (role != Role.LEADER || promise.fencingToken != fencingToken || !held.take(from, promise)) {
            return context.dropped.count(DroppedInput.MESSAGE_LATE)
        }
        heartbeatTraffic.told(from, promise.heartbeats, context.steady)
    }

    private fun onVoteAsk(from: Int, ask: PeerMessage.VoteRequest) {
        val free = given.mayVote && role != Role.LEADER
        val granted = free && ask.fencingToken > fencingToken && ask.revision >= watch.revision
        if (granted) given.voted(ask.fencingToken, ask.revision)
        context.emit(Effect.Send(from, PeerMessage.VoteResponse(ask.fencingToken, ask.seq, granted)))
    }

    private fun onVote(from: Int, vote: PeerMessage.VoteResponse) {
        if (!candidacy.isOurs(vote)) return context.dropped.count(DroppedInput.MESSAGE_OTHER_INCARNATION)
        if (!candidacy.isCurrent(vote)) candidacy.cameLate()
        if (role != Role.FOLLOWER || !candidacy.isCurrent(vote)) {
            return context.dropped.count(DroppedInput.MESSAGE_LATE)
        }
        if (!vote.granted || given.bind) return
        val record = watch.record ?: return
        if (vote.fencingToken != record.fencingToken + 1) return context.dropped.count(DroppedInput.MESSAGE_LATE)
        if (candidacy.take(from) < majority || !events.prepared(watch.revision)) return
        if (watch.released(record, 0) || watch.staleMs() >= plusClockDrift(options.leaderLeaseMs)) {
            candidacy.useVotes()
            stand("elected by peers")
        }
    }

    private companion object {
        /** A record is read, and its answer seen, within this long beside the two periods of its renewal. */
        const val SERVED_SLACK_MS = 200L
        const val READ_SLACK_MS = 700L
        const val RETRY_MS = 250L
        const val CANDIDACY_STEP_MS = 80L
        const val HEARD_MS = 1600L
        const val SERVED_MARGIN_MS = 450L
        const val YIELD_MS = 8000L

        /** A record that has not changed for nearly the lease is a reason to read what a new leader needs. */
        const val PREPARE_AHEAD_MS = 450L

        /** How long a leader that is refused alone waits for a peer that could follow it at once. */
        const val PREPARE_WAIT_MS = 800L
    }
}
