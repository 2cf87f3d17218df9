package org.chalkhollow.core

import org.chalkhollow.core.attempts.AttemptReconciler
import org.chalkhollow.core.attempts.CommandPlanner
import org.chalkhollow.core.attempts.DispatchLog
import org.chalkhollow.core.attempts.HeartbeatHandler
import org.chalkhollow.core.attempts.WorkerCommandSender
import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.Input
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.fleet.ImageLocations
import org.chalkhollow.core.fleet.StaticMachines
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.core.jobs.Quotas
import org.chalkhollow.core.jobs.ServiceLevelObjectives
import org.chalkhollow.core.leadership.CandidateSnapshot
import org.chalkhollow.core.leadership.Leadership
import org.chalkhollow.core.leadership.LeadershipRecord
import org.chalkhollow.core.operations.ControllerVersions
import org.chalkhollow.core.operations.JobView
import org.chalkhollow.core.operations.StatusReport
import org.chalkhollow.core.operations.StatusView
import org.chalkhollow.core.placement.Placement
import org.chalkhollow.core.requests.RequestHandler
import org.chalkhollow.core.storage.StateWriter
import org.chalkhollow.core.storage.Write
import org.chalkhollow.model.HttpStatus
import org.chalkhollow.model.KeyValue
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.PlatformSettings
import org.chalkhollow.wire.MalformedMessageException

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
    private val names = Interners().apply { settings.teams.forEach { teams.intern(it.name) } }
    private val peerLabels = settings.peers.map { it.label }
    private val leadership =
        Leadership(context, settings.label, peerLabels, incarnation, options, start.steady, begunAt, this)
    private val snapshot = CandidateSnapshot(context, READ_BEFORE_LEADING) { leadership.onPrepared() }
    private val log = StateWriter(context, settings.stateLimits, options, leadership)
    private val jobs = JobTable(context, names, settings.stateLimits)
    private val quotas = Quotas(settings.teams)
    private val reconciler = AttemptReconciler(context, jobs, quotas) { leadership.fencingToken }
    private val staticMachines = StaticMachines(context, settings.stateLimits)
    private val fleet = Fleet(context, names, settings, options, settings.label, staticMachines)
    private val images = ImageLocations(context, names, settings.stateLimits, fleet)
    private val dispatch = DispatchLog(settings.stateLimits, reconciler, fleet)
    private val objectives = ServiceLevelObjectives(settings.objectives, fleet::leastBootMs)
    private val placement = Placement(context, jobs, quotas, reconciler, fleet, options, objectives)
    private val commandPlanner = CommandPlanner(reconciler)
    private val direct =
        WorkerCommandSender(context, settings, leadership, log, dispatch, fleet, reconciler, commandPlanner)
    private val heartbeats = HeartbeatHandler(context, settings, leadership, fleet, images, reconciler, commandPlanner)
    private val requestHandler = RequestHandler(context, leadership, log, jobs, quotas, fleet, names)
    private val incarnationId = incarnation
    private var loaded = false
    private var fleetAt = 0L
    private var roundAt = 0L
    private var changesPlaced = -1L

    init {
        reconciler.onSettledMarker = dispatch::settled
        reconciler.onMarked = direct::send
        reconciler.onBegun = fleet::reached
        fleet.onGone = reconciler::machineGone
        fleet.newEpochListener = reconciler::onNewEpoch
        fleet.reserve = placement::reserve
        jobs.onDone = requestHandler::finished
        jobs.onCancelled = { job ->
            reconciler.recorded(job, job.done)
            if (!job.live.isEmpty()) direct.stopAll(job)
        }
        log.source(jobs::nextUrgent)
        log.source(::place)
        log.source { room -> jobs.nextCompletion(room, reconciler::recorded) }
        log.source(staticMachines::next)
        log.source(images::next)
        log.source(dispatch::nextTrash)
        log.source(jobs::nextTrash)
    }

    private val versions = ControllerVersions(settings.label, peerLabels)
    private val statusReport =
        StatusReport(
            context,
            settings.label,
            peerLabels,
            settings.teams,
            leadership,
            jobs,
            quotas,
            fleet,
            placement,
            names,
            log,
            versions,
        )

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
    val view: View
        get() =
            View(
                leadership.entitled(),
                leadership.fencingToken,
                jobs.open.size,
                jobs.size,
                fleet.machines.size,
                versions.all,
                statusReport.replicas(),
                context.dropped.counts(),
            )

    /** Numbers for gauges, and which version each controller runs as far as known. */
    data class View(
        val leading: Boolean,
        val fencingToken: Long,
        val openJobs: Int,
        val jobs: Int,
        val machines: Int,
        val versions: Map<String, Int?> = emptyMap(),
        /** Replicas of services that are wanted and that are up, as the leader knows. */
        val replicas: Pair<Int, Int> = 0 to 0,
        /** How many inputs were dropped since this controller began. */
        val dropped: Map<DroppedInput, Long> = emptyMap(),
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
            is Input.Heartbeat -> heartbeats.onHeartbeat(input.call, input.heartbeat)
            is Input.UnreadHeartbeat -> heartbeats.onUnread(input.call)
            is Input.State -> context.reply(input)
            is Input.Cloud -> context.reply(input)
            is Input.WorkerReply -> context.reply(input)
            is Input.Peer -> onPeer(input)
        }
        if (leadership.role == Leadership.Role.LEADER && mayBringWrites(input)) log.pump()
        ledAtStep = leadership.entitled()
        return context.drain()
    }

    /**
     * Whether a transaction may be due after [input]. Most reports change nothing, and asking all sources for writes
     * after each of them was the largest part of a leader's work; what falls due by time alone waits for the next tick.
     */
    private fun mayBringWrites(input: Input): Boolean {
        if (input !is Input.Heartbeat) return true
        return (context.changes != changesPumped).also { changesPumped = context.changes }
    }

    private var changesPumped = -1L
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
            effect is Effect.Response && effect.status < HttpStatus.SERVER_ERRORS ->
                Effect.Response(effect.call, HttpStatus.UNAVAILABLE, null, 1)
            effect is Effect.Send && effect.message is PeerMessage.ForwardedResponse &&
                effect.message.status < HttpStatus.SERVER_ERRORS ->
                Effect.Send(
                    effect.peer,
                    PeerMessage.ForwardedResponse(effect.message.seq, HttpStatus.UNAVAILABLE, ByteArray(0), 1),
                )
            effect is Effect.WorkerCommand -> null // like a command that is lost on its way
            else -> effect
        }
    }

    private fun tick() {
        context.overload.ticked(context.steady)
        leadership.tick()
        requestHandler.tick()
        snapshot.tick()
        val leading = leadership.role == Leadership.Role.LEADER && loaded
        if (leading && leadership.entitled()) {
            fleet.expireLeases()
        }
        if (context.steady >= fleetAt || leading && fleet.moreNow) {
            fleetAt = context.steady + FLEET_MS + context.overload.lateMs * FLEET_PER_LATE
            if (leading && leadership.entitled()) {
                direct.advanceFencingTokenIfNeeded()
                direct.askDoubtful()
            }
            fleet.tick(leading && leadership.entitled(), placement.unplaced, mayRent())
        }
        val following = leadership.role == Leadership.Role.FOLLOWER
        val next = context.steady + if (following) FOLLOWER_TICK_MS else TICK_MS
        context.overload.nextTickAt(next)
        context.emit(Effect.Timer(next))
    }

    /**
     * A new leader hears from the machines before it rents more. The first of all has nobody's rentals to wait for:
     * once those that were there before have reported, or when there are none, what is missing is asked for at once.
     */
    private fun mayRent(): Boolean =
        staticMachines.known &&
            (
                context.steady - leadAt > settings.heartbeatIntervalS * HEARING_REPORTS * MS_PER_S ||
                    staticMachines.first && fleet.heardFromListed()
            )

    private fun onPeer(input: Input.Peer) {
        when (val m = input.message) {
            is PeerMessage.Hello -> versions.greeted(input.from, m)
            is PeerMessage.ForwardedRequest -> requestHandler.onForward(input.from, m)
            is PeerMessage.ForwardedResponse -> requestHandler.onForwarded(m)
            else -> leadership.onPeer(input.from, m)
        }
    }

    // Leading

    private var leadAt = 0L

    override fun prepare(revision: Long) = snapshot.begin(revision)

    override fun prepared(revision: Long): Boolean = snapshot.complete(revision)

    override fun unprepare() = snapshot.drop()

    override fun onElected(fencingToken: Long, revision: Long, writes: Long, basis: Long) {
        direct.newTerm()
        leadAt = context.steady
        jobs.clear()
        quotas.clear()
        reconciler.clear()
        staticMachines.start(fencingToken)
        fleet.start(fencingToken)
        images.start()
        dispatch.start(fencingToken)
        log.start(LeadershipRecord(settings.label, incarnationId, fencingToken, writes), revision)
        context.emit(Effect.Timing("takeover", snapshot.ageMs))
        snapshot.take(basis).forEach(::take)
        jobs.afterLoad()
        loaded = true
        leadership.ready = true
        requestHandler.open = true
        val inDoubt = fleet.machines.sumOf { it.attempts.size }
        context.info("rebuilt ${jobs.size} jobs (${jobs.open.size} open), $inDoubt attempts in doubt")
    }

    override fun onDeposed() {
        direct.newTerm()
        loaded = false
        log.stop()
        requestHandler.close()
    }

    private fun take(row: KeyValue) {
        try {
            when {
                row.key.startsWith(JobTable.JOB) -> jobs.loadJob(row)
                row.key.startsWith(JobTable.PROGRESS) -> jobs.loadPage(row)
                row.key == StaticMachines.KEY -> staticMachines.load(row)
                row.key.startsWith(ImageLocations.KEY) -> images.load(row)
                else -> dispatch.load(row, jobs)
            }
            log.seen(row.key, row.revision)
        } catch (e: MalformedMessageException) {
            context.emit(Effect.LogEvent(Effect.Level.ERROR, "unreadable record ${row.key}: ${e.message}"))
        }
    }

    /** One placement round as part of the next transaction: its marker is written before any start is sent. */
    private fun place(room: StateWriter.Room): Write? {
        if (!loaded || room.ops < 1) return null
        if (context.steady < roundAt || log.stalled()) return null
        // Rounds cost processor time, of which there is little: without a change they wait for the clock.
        if (context.changes == changesPlaced && context.steady < roundAt + IDLE_ROUND_MS) return null
        changesPlaced = context.changes
        roundAt = context.steady + ROUND_MS + context.overload.lateMs * ROUND_PER_LATE
        val allocations = placement.round()
        placement.preempted.forEach(direct::send)
        if (allocations.isNotEmpty()) context.changed() // what did not fit into this transaction comes with the next
        return dispatch.mark(allocations, room)
    }

    private companion object {
        /** What a candidate reads before it may lead, in this order. */
        val READ_BEFORE_LEADING =
            listOf(JobTable.JOB, JobTable.PROGRESS, DispatchLog.MARK, StaticMachines.PREFIX)
        const val TICK_MS = 100L
        const val FOLLOWER_TICK_MS = 150L
        const val FLEET_MS = 500L
        const val ROUND_MS = 100L
        const val IDLE_ROUND_MS = 900L
        const val UP_MS = 3500L

        // For each millisecond that ticks are late, placement rounds and looks at the fleet wait so many more.
        const val ROUND_PER_LATE = 2
        const val FLEET_PER_LATE = 4

        /** After so many periods of reports all machines that can have reported to a new leader. */
        const val HEARING_REPORTS = 2
    }
}
