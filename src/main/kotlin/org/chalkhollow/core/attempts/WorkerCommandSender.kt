package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CommandReply
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.leadership.Leadership
import org.chalkhollow.core.leadership.StepDownReason
import org.chalkhollow.core.storage.StateWriter
import org.chalkhollow.model.Command
import org.chalkhollow.model.WorkerHeartbeat
import org.chalkhollow.settings.PlatformSettings

/**
 * Owns the commands that go straight to workers, beside the responses to their heartbeats: starts as soon as their
 * marker is durable, stops, and probes whether our messages reach a machine. One without a reply may be carried out as
 * long as our fencing token holds, so the outcome of its attempt stays unknown until the attempt is in a heartbeat, its
 * machine's epoch ends, or the fencing token is advanced. At most one call with commands is under way to a machine.
 * Called when starts are ready, placement preempts or a job is cancelled, and periodically while this controller leads.
 */
class WorkerCommandSender(
    private val context: CoreContext,
    settings: PlatformSettings,
    private val leadership: Leadership,
    private val log: StateWriter,
    private val dispatch: DispatchLog,
    private val fleet: Fleet,
    private val reconciler: AttemptReconciler,
    private val commandPlanner: CommandPlanner,
) {
    private val freshMs = (settings.heartbeatIntervalS * FRESH_HEARTBEATS * MS_PER_S).toLong()
    private var fencingTokenAdvancedAt = context.steady

    /** Replies to what was sent in an earlier term mean nothing any more. */
    private var term = 0

    /** This controller begins to lead, or has stopped. */
    fun newTerm() {
        term++
    }

    /**
     * Stops, and starts whose marker has just become durable, go straight to the worker; the response to its next
     * heartbeat repeats them. A direct command costs many times a response, so short of processor time starts are left
     * to those.
     */
    fun send(machine: Machine) {
        if (!leadership.entitled() || !canSendTo(machine)) return
        val starts = if (context.overload.overloaded) emptyList() else machine.attempts.filter(::mayStart)
        val stops = machine.attempts.filter(::mayStop)
        if (starts.isEmpty() && stops.isEmpty()) return
        for (attempt in stops) attempt.stopSentDirectly() // once; responses to heartbeats repeat it
        for (attempt in starts) attempt.startSentDirectly()
        machine.commandInFlight = true
        machine.reachability.recordProbe(context.steady)
        val epoch = machine.lease.epoch
        val commands = stops.map(commandPlanner::stop) + starts.map(commandPlanner::start)
        call(machine, commands) { reply -> onReply(machine, epoch, starts, reply) }
    }

    private fun mayStart(attempt: Attempt): Boolean =
        attempt.phase == Attempt.Phase.MARKER_PERSISTED && !attempt.job.cancelling && !attempt.job.cancelled

    private fun mayStop(attempt: Attempt): Boolean =
        (attempt.stopRequested || attempt.job.cancelled) && attempt.onMachine && !attempt.directStopSent

    private fun canSendTo(machine: Machine): Boolean {
        if (machine.commandInFlight || machine.address.isEmpty() || machine.lease.epoch == 0L) return false
        return machine.reachability.reachable && context.steady - machine.lease.heartbeatAtMs <= freshMs
    }

    /**
     * What is cancelled is stopped at once where few machines have it, else with the responses to their next
     * heartbeats.
     */
    fun stopAll(job: OpenJob) {
        val machines = fleet.machines.filter { machine -> machine.attempts.any { it.job === job && it.onMachine } }
        machines.take(MAX_CALLS).forEach(::send)
    }

    /** Calls machines that our messages may not reach, without commands: a reply shows that they do. */
    fun probeDoubtful() {
        var callsLeft = MAX_CALLS
        for (machine in fleet.machines) {
            if (callsLeft == 0) return
            if (machine.address.isEmpty() || !fleet.shouldProbe(machine)) continue
            callsLeft--
            probe(machine)
        }
    }

    private fun probe(machine: Machine) {
        val epoch = machine.lease.epoch
        call(machine, emptyList()) { reply ->
            if (machine.lease.epoch == epoch && reply is CommandReply.Executed) fleet.confirmReachable(machine)
        }
    }

    private fun call(machine: Machine, commands: List<Command>, onReply: (CommandReply) -> Unit) {
        val termOfCall = term
        val epoch = machine.lease.epoch
        val effect = { ticket: Int ->
            Effect.WorkerCommand(ticket, machine.address, leadership.fencingToken, epoch, commands)
        }
        context.sendCommands(effect) { reply ->
            if (term == termOfCall) onReply(reply) else context.dropped.count(DroppedInput.REPLY_LATE)
        }
    }

    private fun onReply(machine: Machine, epoch: Long, starts: List<Attempt>, reply: CommandReply) {
        machine.commandInFlight = false
        if (reply is CommandReply.NoResponse) return // it may still be executed: see [advanceFencingTokenIfNeeded]
        for (attempt in starts) attempt.directStartConcluded()
        if (reply is CommandReply.Executed) {
            onExecuted(machine, epoch, reply.heartbeat)
        } else {
            onRefused(starts)
        }
    }

    private fun onRefused(starts: List<Attempt>) {
        for (attempt in starts) {
            if (attempt.phase == Attempt.Phase.START_SENT && !attempt.resolved) attempt.startNotExecuted()
        }
    }

    private fun onExecuted(machine: Machine, epoch: Long, heartbeat: WorkerHeartbeat) {
        val sameEpoch = heartbeat.epoch == epoch && machine.lease.epoch == epoch
        if (sameEpoch) fleet.confirmReachable(machine)
        if (!sameEpoch || heartbeat.machine != machine.name) {
            context.dropped.count(DroppedInput.HEARTBEAT_OTHER_INCARNATION)
        } else if (!machine.lease.advanceStatus(heartbeat.seq)) {
            context.dropped.count(DroppedInput.HEARTBEAT_LATE)
        } else {
            reconciler.reconcile(machine, heartbeat, fromHeartbeat = false)
        }
        if (machine.attempts.any { it.phase == Attempt.Phase.MARKER_PERSISTED }) send(machine)
    }

    /**
     * A direct start without a reply may be executed as long as our fencing token holds. When something waits for its
     * outcome, the token is advanced by giving up the lead: no worker that has seen the new token obeys the old one.
     */
    fun advanceFencingTokenIfNeeded() {
        if (dispatch.exhausted) return leadership.stepDown(StepDownReason.Own.ATTEMPT_NUMBERS_EXHAUSTED)
        val advancedLately = context.steady - fencingTokenAdvancedAt < MIN_ADVANCE_INTERVAL_MS
        if (log.slow() || advancedLately) return quarantineStuck()
        if (fleet.machines.none { waitsForNewToken(it) || keepsTooMany(it) }) return
        fencingTokenAdvancedAt = context.steady
        leadership.stepDown(StepDownReason.Own.UNANSWERED_COMMANDS)
    }

    private fun keepsTooMany(machine: Machine): Boolean =
        machine.attempts.size > MAX_FINISHED && machine.attempts.count { it.finished } > MAX_FINISHED

    private fun waitsForNewToken(machine: Machine): Boolean =
        machine.state == Machine.State.UP &&
            machine.attempts.any { outcomeUnknownForLong(it) && (mayYetRunCancelled(it) || it.finished) }

    private fun outcomeUnknownForLong(attempt: Attempt): Boolean =
        attempt.directStartOutcomeUnknown && context.steady - attempt.progressAtMs > MAX_OUTCOME_UNKNOWN_MS

    /** Whether [attempt] is cancelled, and its start without a reply may still be carried out. */
    private fun mayYetRunCancelled(attempt: Attempt): Boolean =
        attempt.phase == Attempt.Phase.START_SENT && attempt.job.cancelled

    /**
     * The fencing token cannot be advanced while nothing can be written, and giving up the lead then would cost every
     * machine its lease; an earlier version did. Nor is it advanced again and again. A cancelled task's start that may
     * still be carried out ends with the epoch of its machine alone, so that one is answered no more.
     */
    private fun quarantineStuck() {
        for (machine in fleet.machines) {
            if (machine.availability.quarantined || machine.state != Machine.State.UP) continue
            if (machine.attempts.none { outcomeUnknownForLong(it) && mayYetRunCancelled(it) }) continue
            context.info("${machine.name} is quarantined until its lease expires: it may yet start what was cancelled")
            machine.availability.quarantine()
        }
    }

    private companion object {
        /** The lead is not given up more often than this to advance the fencing token. */
        const val MIN_ADVANCE_INTERVAL_MS = 20_000L

        /** A direct start without a reply is waited for so long. */
        const val MAX_OUTCOME_UNKNOWN_MS = 6000L

        /** A machine that has missed so many heartbeats is not sent anything. */
        const val FRESH_HEARTBEATS = 2

        /** More attempts that are over than this are not kept in a machine's heartbeats for want of a newer token. */
        const val MAX_FINISHED = 200

        /** Each takes a connection; those that are left out are called the next time. */
        const val MAX_CALLS = 20
    }
}
