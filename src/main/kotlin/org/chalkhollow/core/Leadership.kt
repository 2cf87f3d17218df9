package org.chalkhollow.core

import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.wire.Change
import org.chalkhollow.wire.Condition
import org.chalkhollow.wire.Fields
import org.chalkhollow.wire.Malformed
import org.chalkhollow.wire.Row

/** The leadership record: who leads, in which life of that process, under which generation, after how many writes. */
data class LeadRecord(val owner: String, val incarnation: Long, val generation: Long, val writes: Long) {
    fun value(): Map<String, Any?> =
        mapOf("owner" to owner, "life" to incarnation, "generation" to generation, "writes" to writes)

    companion object {
        const val KEY = "ch/lead"

        fun of(row: Row): LeadRecord {
            val f = Fields.of(row.value, "leadership record")
            return LeadRecord(f.text("owner"), f.long("life"), f.long("generation"), f.long("writes"))
        }
    }
}

/**
 * Owns who leads. The leadership record is a lease: every write of the leader changes its stamp, and a follower may
 * take over only after it has seen the same stamp for longer than any renewal is good for. Beside it stand the peers'
 * promises: while a majority (the leader counted) has promised not to stand, the leader stays entitled although the
 * state service serves nobody, because a candidate needs the votes of a majority, and no vote is given against a
 * promise. A candidate without votes has to wait out [OperatorSettings.outageLimitMs], beyond which no leader acts on
 * promises.
 */
class Leadership(
    private val context: CoreContext,
    private val label: String,
    private val peers: List<String>,
    private val incarnation: Long,
    private val options: OperatorSettings,
    private val startedAt: Long,
    /** When this process began: an earlier life of it had ended by then, and gave its last promise and vote before. */
    private val begunAt: Long,
    private val events: Events,
) {
    interface Events {
        /**
         * To read all that leaders have written, from now on, when the leadership record has [stamp]. Every write
         * raises the record, so if it still has that stamp when this controller takes over, what was read is all there
         * is.
         */
        fun prepare(stamp: Long)

        /** Whether all was read since the record had [stamp]. */
        fun prepared(stamp: Long): Boolean

        /** What was read is out of date. */
        fun unprepare()

        /** This controller leads; nothing was written since the record had [basis], for which it is prepared. */
        fun onElected(generation: Long, stamp: Long, writes: Long, basis: Long)
        fun onDeposed()
    }

    enum class Role { FOLLOWER, STANDING, LEADER }

    var role = Role.FOLLOWER
        private set

    /** The generation that this controller leads, or the newest that it has heard of. */
    var generation = 0L
        private set

    /** Index of the peer that leads as far as known, or -1. */
    var leaderPeer = -1
        private set
    private var leaderHeardAt = NEVER
    private var leaderReady = false

    // What a follower has seen of the record.
    private var seen: LeadRecord? = null
    private var seenStamp = -1L
    private var seenSince = NEVER
    private var reading = false
    private var readDueAt = startedAt
    private var servedAt = NEVER

    /**
     * The last generation whose leader has told us that it gave up: its lease binds nobody, however lately it wrote.
     */
    private var releasedGeneration = 0L
    private var releasedAt = NEVER

    // Promises and votes given.
    private var promisedUntil = NEVER
    private var votedGeneration = 0L
    private var votedStamp = 0L

    // Votes asked for.
    private var voteSeq = context.random.nextLong(1L shl 61) // votes for an earlier life must not count
    private var voteAskedAt = NEVER
    private val votes = BooleanArray(peers.size)

    /** When the votes that a candidacy rests on were asked for; [NEVER] when it rests on none. */
    private var votesUsedAt = NEVER

    /**
     * Whether a record was read that was asked for once every vote of an earlier life had run out. Until then this
     * process may have voted for a leader that it does not know of any more, and promises nothing: an earlier version
     * promised an older leader at once after a quick restart, and then two were entitled.
     */
    private var knowsRecord = false

    /** Why this controller may take over the record that it last saw without anybody's vote, or null. */
    private var claim: String? = null

    // What a leader holds.
    private var ledGeneration = 0L
    private var renewedAt = NEVER
    private var promiseSeq = 0L
    private var promiseAskedAt = NEVER
    private val promiseSends = LongArray(SENDS) { NEVER }
    private val promises = LongArray(peers.size) { NEVER }

    /** By peer: when the newest promise was asked for that came with word that the state service serves that peer. */
    private val servedElsewhereAt = LongArray(peers.size) { NEVER }

    /** By peer: whether it has read all that this leader wrote, so that it could take over at once. */
    private val preparedElsewhere = BooleanArray(peers.size)
    private var makesWaySince = NEVER

    /** A peer that was served within this time says that it is. */
    private val servedMs = options.leaderRenewMs * 2 + 200
    private var failingSince = NEVER

    /** Which controllers the workers reach. */
    val reportTraffic = ReportTraffic(peers.size)
    private var electedAt = NEVER

    /** Having made way, this controller leaves the lead to others until then. */
    private var yieldsUntil = NEVER

    private val majority = (peers.size + 1) / 2 + 1

    /** Whether this controller may act for all at this moment. */
    fun entitled(): Boolean {
        if (role != Role.LEADER) return false
        val t = context.steady
        if (t < renewedAt + shrunk(options.leaderLeaseMs)) return true
        return t < promisedToMe() && t < renewedAt + shrunk(options.outageLimitMs)
    }

    /** The leader to send others to, or -1 if none was heard of lately. */
    fun reachableLeader(): Int = if (leaderPeer >= 0 && context.steady - leaderHeardAt < HEARD_MS) leaderPeer else -1

    fun leaderIsReady(): Boolean = leaderReady

    /** Whether this controller leads, has heard from a leader within [ms], or has only just begun to listen for one. */
    fun inTouch(ms: Long): Boolean = entitled() || context.steady - maxOf(leaderHeardAt, startedAt) < ms

    private var wasEntitled = false

    private fun noteEntitlement(t: Long) {
        val now = entitled()
        if (now == wasEntitled) return
        wasEntitled = now
        if (role != Role.LEADER) return
        if (now) context.info("entitled to lead again")
        else context.warn("not entitled to lead: last renewal ${t - renewedAt} ms ago, promises for ${promisedToMe() - t} ms, reports go unanswered")
    }

    fun tick() {
        val t = context.steady
        noteEntitlement(t)
        when (role) {
            Role.LEADER -> lead(t)
            Role.FOLLOWER -> follow(t)
            Role.STANDING -> Unit
        }
    }

    private fun follow(t: Long) {
        if (!reading && t >= readDueAt) read()
        if (t - servedAt > options.leaderRenewMs * 2 + 700) return // nothing can be read or written now
        claim?.let { return claimed(it) }
        val record = seen ?: return
        val stale = t - seenSince
        val released = released(record, candidacyOffset())
        if (!released && stale < options.leaderLeaseMs - PREPARE_AHEAD_MS) return
        events.prepare(seenStamp)
        if (!released && stale < stretched(options.leaderLeaseMs) + candidacyOffset() || t < promisedUntil) return
        if (!events.prepared(seenStamp)) return
        if (stale > stretched(options.outageLimitMs) || majority == 1) {
            votesUsedAt = NEVER
            return stand(if (majority == 1) "alone" else "record unchanged for $stale ms")
        }
        if (t - begunAt < stretched(options.promiseMs)) return // an earlier life may have promised
        if (t < yieldsUntil) return
        if (t - voteAskedAt >= VOTE_RETRY_MS) askVotes(t, record)
    }

    /** Whether the leader of [record] has said that it gave up, [sinceMs] ago, and the record was read since. */
    private fun released(record: LeadRecord, sinceMs: Long): Boolean =
        record.generation == releasedGeneration && context.steady - releasedAt >= sinceMs && servedAt > releasedAt

    /**
     * Takes over without votes, once all is read: a leader that does not know what was cancelled must not keep it
     * running.
     */
    private fun claimed(why: String) {
        claim = why
        events.prepare(seenStamp)
        if (!events.prepared(seenStamp)) return
        votesUsedAt = NEVER
        stand(why)
    }

    /** What [Events.prepare] asked for was read. */
    fun onPrepared() {
        if (role == Role.FOLLOWER) follow(context.steady)
    }

    private fun askVotes(t: Long, record: LeadRecord) {
        voteAskedAt = t
        voteSeq++
        votes.fill(false)
        for (p in peers.indices) context.emit(Effect.Send(p, PeerMessage.VoteAsk(record.generation + 1, seenStamp, voteSeq)))
    }

    private fun read() {
        reading = true
        val askedAt = context.steady
        context.state(StateOp.Read(LeadRecord.KEY)) { reply ->
            reading = false
            val t = context.steady
            readDueAt = t + options.leaderRenewMs
            val answered = reply is StateReply.Found || reply is StateReply.Missing
            if (answered && askedAt - begunAt >= stretched(options.promiseMs)) knowsRecord = true
            if (role == Role.FOLLOWER) onRead(reply, t)
        }
    }

    private fun onRead(reply: StateReply, t: Long) {
        when (reply) {
            is StateReply.Found -> {
                servedAt = t
                try {
                    onRecord(LeadRecord.of(reply.row), reply.row.stamp, t)
                } catch (e: Malformed) {
                    context.warn("the leadership record is unreadable: ${e.message}")
                }
            }
            StateReply.Missing -> {
                servedAt = t
                seen = null
                seenStamp = 0
                claimed("no record yet")
            }
            else -> readDueAt = t + RETRY_MS
        }
    }

    private fun onRecord(record: LeadRecord, stamp: Long, t: Long) {
        if (stamp != seenStamp) {
            seenStamp = stamp
            seenSince = t
            claim = null
            events.unprepare()
            if (stamp > votedStamp && record.generation < votedGeneration) votedGeneration = record.generation
        }
        seen = record
        if (record.generation > generation) generation = record.generation
        if (record.owner == label && (record.writes > 0 || record.incarnation == incarnation && record.generation == ledGeneration)) {
            // An earlier life has ended, and an earlier term of this life was given up: nobody holds that lease.
            // The generation rises all the same, since attempt numbers and tokens must not come twice.
            if (t >= yieldsUntil) claimed("this controller led before")
        }
        // A record of ours without a write is a take-over that nobody acted on: it may have been applied long after the
        // votes for it were given, and forgotten since. It is like anyone's record that has gone stale.
    }

    private fun stand(why: String) {
        val old = seen
        val record = LeadRecord(label, incarnation, maxOf(old?.generation ?: 0, generation) + 1, 0)
        role = Role.STANDING
        claim = null
        val basis = seenStamp
        // Our own vote binds us like any other: no promise to an older generation while this may still be applied.
        votedGeneration = maxOf(votedGeneration, record.generation)
        votedStamp = maxOf(votedStamp, seenStamp)
        context.info("standing for generation ${record.generation}: $why")
        val sentAt = context.steady
        val commit = StateOp.Commit(listOf(Condition(LeadRecord.KEY, seenStamp)), listOf(Change(LeadRecord.KEY, record.value())))
        context.state(commit) { reply ->
            role = Role.FOLLOWER
            voteAskedAt = NEVER
            when (reply) {
                is StateReply.Committed -> {
                    servedAt = context.steady
                    if (votesUsedAt == NEVER || context.steady - votesUsedAt < shrunk(options.promiseMs)) becomeLeader(record, reply.revision, sentAt, basis)
                    else onRecord(record, reply.revision, context.steady) // too late: the voters may have restarted and forgotten
                }
                else -> readDueAt = context.steady
            }
        }
    }

    private fun becomeLeader(record: LeadRecord, stamp: Long, at: Long, basis: Long) {
        role = Role.LEADER
        generation = record.generation
        ledGeneration = generation
        renewedAt = at
        electedAt = context.steady
        failingSince = NEVER
        leaderPeer = -1
        promises.fill(NEVER)
        servedElsewhereAt.fill(NEVER)
        preparedElsewhere.fill(false)
        makesWaySince = NEVER
        promiseAskedAt = NEVER
        context.info("leading generation $generation")
        events.onElected(generation, stamp, record.writes, basis)
        lead(context.steady)
    }

    private fun lead(t: Long) {
        if (servedElsewhere(t)) {
            // Nobody renews the workers' leases from here until a peer leads, and if the state service falls silent for
            // all in between, nobody does until it is back. So the lead is given up only once a peer could take it at
            // once.
            if (makesWaySince == NEVER) makesWaySince = t
            if (preparedElsewhere.any { it } || t - makesWaySince > PREPARE_WAIT_MS) {
                return makeWay("the state service serves others but not this controller")
            }
        } else {
            makesWaySince = NEVER
        }
        if (t - electedAt > ReportTraffic.WINDOW_MS && reportTraffic.lost(t)) {
            yieldsUntil = t + YIELD_MS
            return makeWay("workers reach other controllers but not this one")
        }
        if (t - promiseAskedAt < options.promiseMs / PROMISES_EACH) return
        promiseAskedAt = t
        promiseSeq++
        promiseSends[(promiseSeq % SENDS).toInt()] = t
        for (p in peers.indices) context.emit(Effect.Send(p, PeerMessage.PromiseAsk(generation, promiseSeq, ready)))
    }

    private fun makeWay(why: String) {
        // No longer entitled from here on, so the promises given to us bind nobody any more.
        for (p in peers.indices) context.emit(Effect.Send(p, PeerMessage.Release(generation)))
        depose(why)
    }

    /** Set once the leader has rebuilt its view and takes users' requests. */
    var ready = false

    /** A write that was sent at [sentAt] was confirmed: the lease runs from then. */
    fun renewed(sentAt: Long) {
        if (sentAt > renewedAt) renewedAt = sentAt
        failingSince = NEVER
        servedAt = context.steady
    }

    /** A write was refused, or is without an answer although it was sent at [sentAt]. */
    fun writeFailed(sentAt: Long = context.steady) {
        if (failingSince == NEVER) failingSince = sentAt
    }

    /** Someone else's record stands where ours should: stop at once. */
    fun depose(why: String) {
        if (role != Role.LEADER) return
        context.info("no longer leading generation $generation: $why")
        role = Role.FOLLOWER
        ready = false
        seen = null
        seenStamp = -1
        claim = null
        seenSince = context.steady
        readDueAt = context.steady
        events.onDeposed()
    }

    /**
     * Peers were served by the state service after it had begun to refuse us: this is no outage, so make way. What they
     * say when an outage begins is still about the time before it; an earlier version took that for later and stepped
     * down, and with no leader until the outage was over all tasks were lost.
     */
    private fun servedElsewhere(t: Long): Boolean =
        failingSince != NEVER && t > failingSince && servedElsewhereAt.any { it > failingSince + servedMs + SERVED_MARGIN_MS }

    private fun promisedToMe(): Long {
        if (majority == 1) return Long.MAX_VALUE
        val sorted = promises.sortedArray()
        return sorted[sorted.size - (majority - 1)]
    }

    fun onPeer(from: Int, message: PeerMessage) {
        val t = context.steady
        when (message) {
            is PeerMessage.PromiseAsk -> onPromiseAsk(from, message, t)
            is PeerMessage.Promise -> onPromise(from, message, t)
            is PeerMessage.Release -> if (from == leaderPeer && message.generation == generation) {
                promisedUntil = NEVER
                leaderHeardAt = NEVER
                releasedGeneration = message.generation
                releasedAt = t
                readDueAt = t
            }
            is PeerMessage.VoteAsk -> onVoteAsk(from, message, t)
            is PeerMessage.Vote -> onVote(from, message)
            else -> Unit
        }
    }

    private fun onPromiseAsk(from: Int, ask: PeerMessage.PromiseAsk, t: Long) {
        val granted = knowsRecord && ask.generation >= generation && ask.generation >= votedGeneration && role == Role.FOLLOWER
        if (granted) {
            promisedUntil = maxOf(promisedUntil, t + options.promiseMs)
        }
        if (ask.generation >= generation && role == Role.FOLLOWER) {
            generation = ask.generation
            leaderPeer = from
            leaderHeardAt = t
            leaderReady = ask.ready
        }
        val served = t - servedAt < servedMs
        context.emit(Effect.Send(from, PeerMessage.Promise(ask.generation, ask.seq, granted, served, reportTraffic.here(t), events.prepared(seenStamp))))
    }

    private fun onPromise(from: Int, promise: PeerMessage.Promise, t: Long) {
        if (role != Role.LEADER || promise.generation != generation) return
        if (promise.seq <= promiseSeq - SENDS) return
        val sentAt = promiseSends[(promise.seq % SENDS).toInt()]
        if (promise.granted) promises[from] = maxOf(promises[from], sentAt + shrunk(options.promiseMs))
        reportTraffic.told(from, promise.reports, t)
        if (promise.stateServed) servedElsewhereAt[from] = maxOf(servedElsewhereAt[from], sentAt)
        preparedElsewhere[from] = promise.prepared
    }

    private fun onVoteAsk(from: Int, ask: PeerMessage.VoteAsk, t: Long) {
        val free = t >= promisedUntil && t - begunAt >= stretched(options.promiseMs) && role != Role.LEADER
        val granted = free && ask.generation > generation && ask.stamp >= seenStamp
        if (granted) {
            votedGeneration = maxOf(votedGeneration, ask.generation)
            votedStamp = maxOf(votedStamp, ask.stamp)
        }
        context.emit(Effect.Send(from, PeerMessage.Vote(ask.generation, ask.seq, granted)))
    }

    private fun onVote(from: Int, vote: PeerMessage.Vote) {
        if (role != Role.FOLLOWER || vote.seq != voteSeq || !vote.granted || context.steady < promisedUntil) return
        val record = seen ?: return
        if (vote.generation != record.generation + 1) return
        votes[from] = true
        if (votes.count { it } + 1 >= majority && events.prepared(seenStamp) && (released(record, 0) || context.steady - seenSince >= stretched(options.leaderLeaseMs))) {
            votesUsedAt = voteAskedAt
            stand("elected by peers")
        }
    }

    /** Spreads candidates a little, so that they rarely stand at once. */
    private fun candidacyOffset(): Long = peers.count { it < label } * CANDIDACY_STEP_MS

    private fun shrunk(ms: Long): Long = ms - ms / 500 - 10

    private fun stretched(ms: Long): Long = ms + ms / 500 + 10

    private companion object {
        const val NEVER = Long.MIN_VALUE / 4
        const val SENDS = 64
        const val PROMISES_EACH = 4
        const val VOTE_RETRY_MS = 150L
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
