package org.chalkhollow.core

import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.PlatformSettings
import org.chalkhollow.wire.Command
import org.chalkhollow.wire.Malformed
import org.chalkhollow.wire.Row
import org.chalkhollow.wire.WorkerCodec
import org.chalkhollow.wire.WorkerReport

/**
 * A controller as a pure state machine: an input at a moment in, effects out. It has no clock, does no I/O, and two
 * controllers given the same inputs and seed do the same.
 */
class Controller(
    private val settings: PlatformSettings,
    options: OperatorSettings,
    incarnation: Long,
    start: Now,
    /** When this process began, by the steady clock; an earlier life of this controller had ended by then. */
    begunAt: Long = start.steady,
) : Leadership.Events {
    private val context = CoreContext(incarnation).also { it.now = start }
    private val names = Names().apply { settings.teams.forEach { teams.intern(it.name) } }
    private val peerLabels = settings.peers.map { it.label }
    private val leadership = Leadership(context, settings.label, peerLabels, incarnation, options, start.steady, begunAt, this)
    private val snapshot = CandidateSnapshot(context, listOf(JobTable.JOB, JobTable.PROGRESS, DispatchLog.MARK, PreProvisionedMachines.PREFIX)) { leadership.onPrepared() }
    private val log = StateLog(context, settings.stateLimits, options, leadership)
    private val jobs = JobTable(context, names, settings.stateLimits)
    private val quotas = Quotas(settings.teams)
    private val settlement = Settlement(context, jobs, quotas) { leadership.generation }
    private val preProvisioned = PreProvisionedMachines(context, settings.stateLimits)
    private val fleet = Fleet(context, names, settings, options, settings.label, preProvisioned)
    private val images = ImageMemory(context, names, settings.stateLimits, fleet)
    private val dispatch = DispatchLog(context, settings.stateLimits, settlement, fleet)
    private val placement = Placement(context, jobs, quotas, settlement, fleet, options, ServiceLevelObjectives(settings.objectives, fleet::leastBootMs))
    private val requestHandler = RequestHandler(context, leadership, log, jobs, quotas, fleet, names)
    private val incarnationId = incarnation
    private var loaded = false
    private var term = 0
    private var fleetAt = 0L
    private var roundAt = 0L
    private var changesPlaced = -1L
    private var generationRaisedAt = start.steady

    init {
        settlement.onSettledMarker = dispatch::settled
        settlement.onMarked = ::sendDirectly
        settlement.onBegun = fleet::reached
        fleet.onGone = settlement::machineGone
        fleet.onNewSession = settlement::newSession
        fleet.reserve = placement::reserve
        jobs.onDone = requestHandler::finished
        jobs.onCancelled = ::onCancelled
        log.source(jobs::nextUrgent)
        log.source(::place)
        log.source { room -> jobs.nextCompletion(room, settlement::recorded) }
        log.source(preProvisioned::next)
        log.source(images::next)
        log.source(dispatch::nextTrash)
        log.source(jobs::nextTrash)
    }

    private val versions = Versions(settings.label, peerLabels)
    private val statusReport =
        StatusReport(context, settings.label, peerLabels, settings.teams, leadership, jobs, quotas, fleet, placement, names, log, versions)

    /** For operators; changes nothing. */
    fun status(now: Now): StatusView {
        context.now = now
        return statusReport.status(loaded)
    }

    /** For operators: one job, or null when this controller does not know of it. */
    fun jobStatus(now: Now, id: String): JobView? {
        context.now = now
        return statusReport.job(id)
    }

    /** For gauges. */
    val view: View get() = View(leadership.entitled(), leadership.generation, jobs.open.size, jobs.size, fleet.machines.size, versions.all, statusReport.replicas())

    /** Numbers for gauges, and which version each controller runs as far as known. */
    data class View(
        val leading: Boolean,
        val generation: Long,
        val openJobs: Int,
        val jobs: Int,
        val machines: Int,
        val versions: Map<String, Int?> = emptyMap(),
        /** Replicas of services that are wanted and that are up, as the leader knows. */
        val replicas: Pair<Int, Int> = 0 to 0,
    )

    /** Whether this controller is entitled to act for all at this moment. */
    fun leads(now: Now): Boolean {
        context.now = now
        return leadership.entitled()
    }

    /** Whether users may be sent here: this controller leads, or has lately heard from who does. */
    fun takesRequests(now: Now): Boolean {
        context.now = now
        return leadership.inTouch(UP_MS)
    }

    /** Takes one input and returns what is to be done about it. */
    fun step(now: Now, input: Input): List<Effect> {
        context.now = now
        when (input) {
            Input.Tick -> tick()
            is Input.User -> requestHandler.ask(input.call, input.ask)
            is Input.Report -> onReport(input.call, input.report)
            is Input.State -> context.reply(input)
            is Input.Cloud -> context.reply(input)
            is Input.Direct -> context.reply(input)
            is Input.Peer -> onPeer(input)
        }
        if (leadership.role == Leadership.Role.LEADER) log.pump()
        ledAtStep = leadership.entitled()
        return context.drain()
    }

    private var ledAtStep = false

    /**
     * What is still to be done of [effect], which the last step decided, when it comes only now: what only an entitled
     * leader may say is said no more when this is none by now, refusals included: the job may have been accepted since.
     * Writes need no such check, their conditions hold or do not.
     */
    fun whenLate(now: Now, effect: Effect): Effect? {
        context.now = now
        if (!ledAtStep || leadership.entitled()) return effect
        return when {
            effect is Effect.Answer && effect.status < 500 -> Effect.Answer(effect.call, 503, null, 1)
            effect is Effect.Send && effect.message is PeerMessage.Forwarded && effect.message.status < 500 ->
                Effect.Send(effect.peer, PeerMessage.Forwarded(effect.message.seq, 503, ByteArray(0), 1))
            effect is Effect.Direct -> null // like a command that is lost on its way
            else -> effect
        }
    }

    private fun tick() {
        leadership.tick()
        requestHandler.tick()
        snapshot.tick()
        val leading = leadership.role == Leadership.Role.LEADER && loaded
        if (leading && leadership.entitled()) {
            fleet.lapse()
        }
        if (context.steady >= fleetAt || leading && fleet.moreNow) {
            fleetAt = context.steady + FLEET_MS
            if (leading && leadership.entitled()) {
                raiseGenerationIfNeeded()
                askDoubtful()
            }
            fleet.tick(leading && leadership.entitled(), placement.unplaced, mayRent())
        }
        context.emit(Effect.Timer(context.steady + if (leadership.role == Leadership.Role.FOLLOWER) FOLLOWER_TICK_MS else TICK_MS))
    }

    /**
     * A new leader hears from the machines before it rents more. The first of all has nobody's rentals to wait for:
     * once those that were there before have reported, or when there are none, what is missing is asked for at once.
     */
    private fun mayRent(): Boolean =
        preProvisioned.known &&
            (context.steady - leadAt > settings.reportS * 2000 || preProvisioned.first && fleet.heardFromListed())

    private fun onPeer(input: Input.Peer) {
        when (val m = input.message) {
            is PeerMessage.Hello -> versions.greeted(input.from, m)
            is PeerMessage.Forward -> requestHandler.onForward(input.from, m)
            is PeerMessage.Forwarded -> requestHandler.onForwarded(m)
            else -> leadership.onPeer(input.from, m)
        }
    }

    // Leading

    private var leadAt = 0L

    override fun prepare(stamp: Long) = snapshot.begin(stamp)

    override fun prepared(stamp: Long): Boolean = snapshot.complete(stamp)

    override fun unprepare() = snapshot.drop()

    override fun onElected(generation: Long, stamp: Long, writes: Long, basis: Long) {
        term++
        leadAt = context.steady
        jobs.clear()
        quotas.clear()
        settlement.clear()
        preProvisioned.start(generation)
        fleet.start(generation)
        images.start()
        dispatch.start(generation)
        log.start(LeadRecord(settings.label, incarnationId, generation, writes), stamp)
        context.emit(Effect.Sample("takeover", snapshot.ageMs))
        snapshot.take(basis).forEach(::take)
        jobs.afterLoad()
        loaded = true
        leadership.ready = true
        requestHandler.open = true
        context.info("rebuilt ${jobs.size} jobs (${jobs.open.size} open), ${fleet.machines.sumOf { it.attempts.size }} attempts in doubt")
    }

    override fun onDeposed() {
        term++
        loaded = false
        log.stop()
        requestHandler.close()
    }

    private fun take(row: Row) {
        try {
            when {
                row.key.startsWith(JobTable.JOB) -> jobs.loadJob(row)
                row.key.startsWith(JobTable.PROGRESS) -> jobs.loadPage(row)
                row.key == PreProvisionedMachines.KEY -> preProvisioned.load(row)
                row.key.startsWith(ImageMemory.KEY) -> images.load(row)
                else -> dispatch.load(row, jobs)
            }
            log.seen(row.key, row.stamp)
        } catch (e: Malformed) {
            context.emit(Effect.Note(Effect.Level.ERROR, "unreadable record ${row.key}: ${e.message}"))
        }
    }

    /** One placement round as part of the next transaction: its marker is written before any start is sent. */
    private fun place(room: StateLog.Room): Write? {
        if (!loaded || room.ops < 1 || context.steady < roundAt || log.stalled()) return null
        // Rounds cost processor time, of which there is little: without a change they wait for the clock.
        if (context.changes == changesPlaced && context.steady < roundAt + IDLE_ROUND_MS) return null
        changesPlaced = context.changes
        roundAt = context.steady + ROUND_MS
        val allocations = placement.round()
        for (m in placement.preempted) sendDirectly(m)
        if (allocations.isNotEmpty()) context.changed() // what did not fit into this transaction comes with the next
        return dispatch.mark(allocations, room)
    }

    /** What is cancelled is stopped at once where few machines have it, else with the answers to their next reports. */
    private fun onCancelled(job: OpenJob) {
        settlement.recorded(job, job.done)
        if (job.live.isEmpty()) return
        fleet.machines.filter { m -> m.attempts.any { it.job === job && it.onMachine } }.take(MOST_ASKED).forEach(::sendDirectly)
    }

    // Workers

    private fun onReport(call: Int, report: WorkerReport) {
        leadership.reportTraffic.note(context.steady)
        if (!leadership.entitled()) {
            val leader = leadership.reachableLeader()
            if (leader >= 0) context.answer(call, 421, WorkerCodec.redirect(peerLabels[leader])) else context.answer(call, 503)
            return
        }
        val m = fleet.observe(report)
        if (m == null || m.shunned) {
            context.answer(call, 503)
            return
        }
        if (report.seq > m.beatSeq) {
            // The worker's lease runs from when it sent this report, which is not after now. One that is no newer than
            // another that we answered was sent before it and renews nothing: late copies must not keep a dead machine
            // alive. The reply to a direct command does not count here, since a report sent after it may come before
            // it.
            m.beatSeq = report.seq
            m.answeredAt = context.steady
        }
        val newer = report.seq > m.seq
        if (newer) {
            m.seq = report.seq
            images.recall(m)
            settlement.reconcile(m, report, beat = true)
        }
        context.answer(call, 200, WorkerCodec.commands(leadership.generation, settlement.commands(m, startsAllowed = newer)))
    }

    /**
     * Stops, and starts whose marker has just become durable go straight to the worker; the next report's answer
     * repeats them.
     */
    private fun sendDirectly(m: Machine) {
        if (!leadership.entitled() || m.directBusy || m.address.isEmpty() || m.session == 0L) return
        if (!m.reachable || context.steady - m.reportedAt > settings.reportS * 2000) return
        val starts = m.attempts.filter { it.phase == Attempt.Phase.MARKED && !it.job.cancelling && !it.job.cancelled }
        val stops = m.attempts.filter { (it.stopping || it.job.cancelled) && it.onMachine && it.stopSentAt == 0L }
        if (starts.isEmpty() && stops.isEmpty()) return
        for (a in stops) a.stopSentAt = context.steady // once; answers to reports repeat it
        for (a in starts) {
            a.phase = Attempt.Phase.SENT
            a.directPending = true
            a.sentDirectly = true
        }
        m.directBusy = true
        m.askedAt = context.steady
        val inTerm = term
        val session = m.session
        val commands = stops.map(settlement::stop) + starts.map { Command.Start(it.job.spec.id, it.index, it.number) }
        context.direct({ Effect.Direct(it, m.address, leadership.generation, session, commands) }) { reply ->
            if (term == inTerm) onDirect(m, session, starts, reply)
        }
    }

    /** A direct command without orders: its answer shows that the machine hears us. */
    private fun askDoubtful() {
        var left = MOST_ASKED
        for (m in fleet.machines) {
            if (left == 0) return
            if (m.address.isEmpty() || !fleet.toBeAsked(m)) continue
            left--
            val inTerm = term
            val session = m.session
            context.direct({ Effect.Direct(it, m.address, leadership.generation, session, emptyList()) }) { reply ->
                if (term == inTerm && m.session == session && reply is DirectReply.Executed) fleet.reached(m)
            }
        }
    }

    private fun onDirect(m: Machine, session: Long, starts: List<Attempt>, reply: DirectReply) {
        m.directBusy = false
        if (reply is DirectReply.NoResponse) return // it may still be executed: see raiseGenerationIfNeeded
        for (a in starts) a.directPending = false
        val report = when (reply) {
            is DirectReply.Executed -> reply.report
            is DirectReply.Refused -> reply.report
            else -> null
        }
        if (report == null || reply is DirectReply.Refused) {
            for (a in starts) if (a.phase == Attempt.Phase.SENT && !a.settled) a.phase = Attempt.Phase.MARKED
            return
        }
        if (report.session == session && m.session == session) fleet.reached(m)
        if (report.session == session && m.session == session && report.seq > m.seq && report.machine == m.name) {
            m.seq = report.seq
            settlement.reconcile(m, report, beat = false)
        }
        if (m.attempts.any { it.phase == Attempt.Phase.MARKED }) sendDirectly(m)
    }

    /**
     * A direct start without an answer may be executed as long as our token holds. When something waits for its fate,
     * the generation is raised: no worker that has seen the new token obeys the old one.
     */
    private fun raiseGenerationIfNeeded() {
        val t = context.steady
        if (dispatch.exhausted) return leadership.depose("attempt numbers are used up")
        if (log.slow() || t - generationRaisedAt < RAISE_MS) return shunStuck(t)
        val stuck = fleet.machines.any { m ->
            stuck(m, t) || m.attempts.size > MOST_KEPT && m.attempts.count { it.phase == Attempt.Phase.EXITED && it.forgettable } > MOST_KEPT
        }
        if (!stuck) return
        generationRaisedAt = t
        leadership.depose("raising the generation to settle direct starts without an answer")
    }

    private fun stuck(m: Machine, t: Long): Boolean = m.state == Machine.State.UP && m.attempts.any {
        it.directPending && t - it.since > STUCK_MS &&
            (it.phase == Attempt.Phase.SENT && it.job.cancelled || it.phase == Attempt.Phase.EXITED && it.forgettable)
    }

    /**
     * No generation can be raised while nothing can be written, and giving up the lead then would cost every machine
     * its lease; an earlier version did. Nor is one raised again and again. A cancelled task's start that may still be
     * carried out ends with the session of its machine alone, so that one is answered no more.
     */
    private fun shunStuck(t: Long) {
        for (m in fleet.machines) {
            if (m.shunned || m.attempts.none { it.directPending && t - it.since > STUCK_MS && it.phase == Attempt.Phase.SENT && it.job.cancelled }) continue
            if (m.state != Machine.State.UP) continue
            context.info("${m.name} may yet begin what was cancelled, and is left to its lease")
            m.shunned = true
        }
    }

    private companion object {
        const val TICK_MS = 100L
        const val FOLLOWER_TICK_MS = 150L
        const val FLEET_MS = 500L
        const val ROUND_MS = 100L
        const val IDLE_ROUND_MS = 900L
        const val UP_MS = 3500L
        const val RAISE_MS = 20_000L
        const val STUCK_MS = 6000L

        /** More tasks that are over than this are not kept in a machine's reports for want of a newer token. */
        const val MOST_KEPT = 200

        /** Each takes a connection; those that are left out are asked the next time. */
        const val MOST_ASKED = 20
    }
}
