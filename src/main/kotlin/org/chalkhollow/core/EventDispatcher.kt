package org.chalkhollow.core

import org.chalkhollow.core.attempts.AttemptEvents
import org.chalkhollow.core.attempts.AttemptReconciler
import org.chalkhollow.core.attempts.DispatchLog
import org.chalkhollow.core.attempts.WorkerCommandSender
import org.chalkhollow.core.cluster.DispatchMarker
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.fleet.MachineEvents
import org.chalkhollow.core.jobs.JobEvents
import org.chalkhollow.core.leadership.CandidateSnapshot
import org.chalkhollow.core.leadership.Leadership
import org.chalkhollow.core.requests.RequestHandler
import org.chalkhollow.core.storage.TransactionBudget
import org.chalkhollow.core.storage.Write
import org.chalkhollow.core.storage.WriteProducer

/**
 * Passes the events of leadership, jobs, attempts and machines to the modules that handle them. These modules depend on
 * each other: the reconciler is notified of machines that are gone, and the fleet of attempts that have started.
 * Therefore each module receives this dispatcher at construction, and [bind] sets the targets of the dispatcher once
 * all modules exist. Built by [ControllerModules].
 */
internal class EventDispatcher :
    Leadership.Events,
    MachineEvents,
    AttemptEvents,
    JobEvents {
    /** The modules that receive events; [placement] produces the write of a placement round. */
    class Targets(
        val snapshot: CandidateSnapshot,
        val term: LeaderTerm,
        val reconciler: AttemptReconciler,
        val dispatch: DispatchLog,
        val commands: WorkerCommandSender,
        val fleet: Fleet,
        val requests: RequestHandler,
        val placement: WriteProducer,
    )

    private var bound: Targets? = null
    private val targets: Targets get() = checkNotNull(bound) { "event received before bind() was called" }

    /** Sets the receivers of events. Must be called once, before the first input. */
    fun bind(targets: Targets) {
        check(bound == null) { "bind() was called twice" }
        bound = targets
    }

    override fun requestSnapshot(revision: Long) = targets.snapshot.begin(revision)

    override fun snapshotComplete(revision: Long): Boolean = targets.snapshot.isComplete(revision)

    override fun discardSnapshot() = targets.snapshot.discard()

    override fun onElected(fencingToken: Long, revision: Long, writes: Long, snapshotRevision: Long) =
        targets.term.start(fencingToken, revision, writes, snapshotRevision)

    override fun onSteppedDown() = targets.term.end()

    override fun onMachineGone(machine: Machine) = targets.reconciler.onMachineGone(machine)

    override fun onNewEpoch(machine: Machine, hadSentCurrentFencingToken: Boolean) =
        targets.reconciler.onNewEpoch(machine, hadSentCurrentFencingToken)

    override fun onMarkerReleased(marker: DispatchMarker) = targets.dispatch.onMarkerReleased(marker)

    override fun onStartsReady(machine: Machine) = targets.commands.send(machine)

    override fun onStartObserved(machine: Machine) = targets.fleet.confirmReachable(machine)

    override fun onJobDone(job: OpenJob) = targets.requests.onJobDone(job)

    override fun onJobCancelled(job: OpenJob) {
        targets.reconciler.onOutcomesRecorded(job, job.progress.snapshot())
        if (!job.tasks.noneLive) targets.commands.stopAttempts(job)
    }

    /** The write of the next placement round, if one is due. */
    fun nextPlacement(budget: TransactionBudget): Write? = targets.placement.next(budget)
}
