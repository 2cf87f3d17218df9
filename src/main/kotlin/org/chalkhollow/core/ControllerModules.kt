package org.chalkhollow.core

import org.chalkhollow.core.attempts.AttemptReconciler
import org.chalkhollow.core.attempts.CommandPlanner
import org.chalkhollow.core.attempts.DispatchLog
import org.chalkhollow.core.attempts.HeartbeatHandler
import org.chalkhollow.core.attempts.WorkerCommandSender
import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.fleet.ImageLocations
import org.chalkhollow.core.fleet.StaticMachines
import org.chalkhollow.core.jobs.CompletionWriter
import org.chalkhollow.core.jobs.JobCancellation
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.core.jobs.Quotas
import org.chalkhollow.core.jobs.ServiceLevelObjectives
import org.chalkhollow.core.leadership.CandidateSnapshot
import org.chalkhollow.core.leadership.Leadership
import org.chalkhollow.core.leadership.LeadershipRecord
import org.chalkhollow.core.operations.ControllerVersions
import org.chalkhollow.core.operations.FleetReport
import org.chalkhollow.core.operations.HeldTasks
import org.chalkhollow.core.operations.JobReport
import org.chalkhollow.core.operations.StatusReport
import org.chalkhollow.core.operations.WaitReasons
import org.chalkhollow.core.placement.Placement
import org.chalkhollow.core.requests.RequestHandler
import org.chalkhollow.core.storage.StateWriter
import org.chalkhollow.core.storage.WriteProducer
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.PlatformSettings

/**
 * Builds the modules of one controller in the order of their layers and passes to each the modules that it uses. Where
 * two modules need each other, the earlier one reaches the later one through [EventDispatcher]. The modules that
 * [Controller] uses are public.
 */
internal class ControllerModules(
    settings: PlatformSettings,
    options: OperatorSettings,
    incarnation: Long,
    start: Now,
    processStartedAtMs: Long,
) {
    val context = CoreContext(incarnation).also { it.now = start }
    private val events = EventDispatcher()
    private val label = settings.label
    private val peerLabels = settings.peers.map { it.label }
    private val limits = settings.stateLimits
    private val names = Interners().apply { settings.teams.forEach { teams.intern(it.name) } }

    val leadership =
        Leadership(context, label, peerLabels, incarnation, options, start.steady, processStartedAtMs, events)
    private val snapshot = CandidateSnapshot(context, StoredRecords.PREFIXES) { leadership.onSnapshotComplete() }

    val jobs = JobTable(context, names, limits)
    private val cancellation = JobCancellation(jobs, limits, events)
    private val quotas = Quotas(settings.teams)
    private val staticMachines = StaticMachines(context, limits)
    val fleet = Fleet(context, names, settings, options, label, staticMachines, events)
    private val images = ImageLocations(context, names, limits, fleet)

    private val reconciler = AttemptReconciler(context, jobs, quotas, events) { leadership.fencingToken }
    private val completions = CompletionWriter(context, jobs, events, reconciler::onOutcomesRecorded)
    private val dispatch = DispatchLog(limits, reconciler, fleet)
    val writer = StateWriter(context, limits, options, leadership, writeProducers())
    private val planner = CommandPlanner(reconciler)
    private val commands =
        WorkerCommandSender(context, settings, leadership, writer, dispatch, fleet, reconciler, planner)
    val heartbeats = HeartbeatHandler(context, settings, leadership, fleet, images, reconciler, planner)

    private val objectives = ServiceLevelObjectives(settings.objectives, fleet::minBootMs)
    private val placement = Placement(context, jobs, quotas, reconciler, fleet, options, objectives)
    val requests =
        RequestHandler(context, leadership, writer, jobs, cancellation, quotas, fleet, names)

    private val records =
        StoredRecords(context, jobs, quotas, reconciler, staticMachines, fleet, images, dispatch)
    private val ownRecord = LeadershipRecord(label, incarnation, fencingToken = 0, writes = 0)
    val term = LeaderTerm(context, ownRecord, leadership, snapshot, records, writer, commands, requests)
    private val placementStep = PlacementStep(context, term, writer, placement, commands, dispatch)
    private val fleetStep =
        FleetStep(
            context,
            leadership,
            term,
            fleet,
            staticMachines,
            placement,
            commands,
            settings.heartbeatIntervalS,
        )
    val heldTasks = HeldTasks(context, jobs, placement)
    val periodic = PeriodicTasks(context, leadership, requests, snapshot, fleetStep, heldTasks)
    val lateEffects = LateEffects(leadership)

    val versions = ControllerVersions(label, peerLabels)
    private val waitReasons = WaitReasons(context, writer, quotas, fleet, placement, heldTasks)
    val jobReport = JobReport(context, jobs, waitReasons)
    private val fleetReport = FleetReport(fleet, names)
    val statusReport =
        StatusReport(label, peerLabels, settings.teams, leadership, quotas, versions, jobReport, fleetReport)

    init {
        events.bind(
            EventDispatcher.Targets(snapshot, term, reconciler, dispatch, commands, fleet, requests, placementStep),
        )
    }

    /**
     * The write producers, most urgent first, since the budget of a transaction may not suffice for all. Users wait for
     * accepted and cancelled jobs, and tasks wait for their placement. Completions follow: until they are durable,
     * workers keep them in their heartbeats. Garbage collection comes last because nothing waits for it.
     */
    private fun writeProducers(): List<WriteProducer> =
        listOf(
            WriteProducer(jobs.urgentWrites::next),
            WriteProducer(events::nextPlacement),
            WriteProducer(completions::next),
            WriteProducer(staticMachines::next),
            WriteProducer(images::next),
            WriteProducer(dispatch::nextMarkerRemoval),
            WriteProducer(jobs.garbage::next),
        )
}
