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
 * Owns the commands that are sent directly to workers, in addition to the responses to their heartbeats: starts as soon
 * as their marker is durable, stops, and probes that show whether this leader's messages reach a machine. A command
 * without a reply may be carried out as long as the worker knows no newer fencing token, so the outcome of its attempt
 * stays unknown until a heartbeat lists the attempt, its machine's epoch ends, or the fencing token is advanced. At
 * most one call with commands is in flight per machine. Called when starts are ready, when placement preempts, when a
 * job is cancelled, and periodically while this controller leads.
 */
class WorkerCommandSender(
    private val context: CoreContext,
    settings: PlatformSettings,
    private val leadership: Leadership,
    private val stateWriter: StateWriter,
    private val dispatchLog: DispatchLog,
    private val fleet: Fleet,
    private val reconciler: AttemptReconciler,
    private val commandPlanner: CommandPlanner,
) {
    private val maxHeartbeatAgeMs = (settings.heartbeatIntervalS * MAX_HEARTBEAT_AGE_INTERVALS * MS_PER_S).toLong()
    private var fencingTokenAdvancedAtMs = context.steady

    /** Counts the starts and ends of leader terms; replies to calls of an earlier term are dropped. */
    private var term = 0

    /** A leader term of this controller has started or ended. */
    fun newTerm() {
        term++
    }

    /**
     * Sends stops, and starts whose marker is durable, directly to the worker, as many as one request may carry. The
     * response to its next heartbeat repeats them. A direct command takes many times the processor time of a heartbeat
     * response, so under overload starts are left to the responses.
     */
    fun send(machine: Machine) {
        if (!leadership.mayActAsLeader() || !canSendTo(machine)) return
        val stops = machine.attempts.filter(::mayStop).take(CommandPlanner.MAX_COMMANDS)
        val maxStarts = if (startsDirectly(machine)) CommandPlanner.MAX_COMMANDS - stops.size else 0
        val starts = machine.attempts.filter(::mayStart).take(maxStarts)
        if (starts.isEmpty() && stops.isEmpty()) return
        for (attempt in stops) attempt.stopSentDirectly() // only once; responses to heartbeats repeat it
        for (attempt in starts) attempt.startSentDirectly()
        machine.commandInFlight = true
        machine.reachability.recordProbe(context.steady)
        val epoch = machine.lease.epoch
        val commands = stops.map(commandPlanner::stop) + starts.map(commandPlanner::start)
        call(machine, commands) { reply -> onReply(machine, epoch, starts, reply) }
    }

    /**
     * Whether starts are sent directly to [machine]. Its worker has to remember attempts that were started directly
     * while their job is open, so with many of them further starts are left to the responses to heartbeats.
     */
    private fun startsDirectly(machine: Machine): Boolean =
        !context.overload.overloaded &&
            (
                machine.attempts.size <= MAX_REMEMBERED_ATTEMPTS ||
                    machine.attempts.count { it.finished } <= MAX_REMEMBERED_ATTEMPTS
            )

    private fun mayStart(attempt: Attempt): Boolean =
        attempt.phase == Attempt.Phase.MARKER_PERSISTED && !attempt.job.cancelling && !attempt.job.cancelled

    private fun mayStop(attempt: Attempt): Boolean =
        (attempt.stopRequested || attempt.job.cancelled) && attempt.onMachine && !attempt.directStopSent

    private fun canSendTo(machine: Machine): Boolean {
        if (machine.commandInFlight || machine.address.isEmpty() || machine.lease.epoch == 0L) return false
        return machine.reachability.reachable && context.steady - machine.lease.heartbeatAtMs <= maxHeartbeatAgeMs
    }

    /**
     * Stops the attempts of a cancelled [job] directly on the first [MAX_CALLS] machines, and on the others with the
     * responses to their next heartbeats.
     */
    fun stopAttempts(job: OpenJob) {
        val machines = fleet.machines.filter { machine -> machine.attempts.any { it.job === job && it.onMachine } }
        machines.take(MAX_CALLS).forEach(::send)
    }

    /** Calls machines that this leader's messages may not reach, without commands: a reply proves that they do. */
    fun probeUnconfirmedMachines() {
        var callsLeft = MAX_CALLS
        for (machine in fleet.machines) {
            if (callsLeft == 0) return
            if (machine.address.isEmpty() || !fleet.beginProbeIfDue(machine)) continue
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
            onNotExecuted(starts)
        }
    }

    private fun onNotExecuted(starts: List<Attempt>) {
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
     * Steps down if attempt numbers are used up, or if the outcome of a direct start without a reply has to be
     * resolved: the start may be executed as long as the worker knows no newer fencing token. Stepping down advances
     * the token, and a worker that has seen the new token rejects commands with the old one.
     */
    fun advanceFencingTokenIfNeeded() {
        if (dispatchLog.attemptNumbersExhausted) {
            return leadership.stepDown(StepDownReason.Local.ATTEMPT_NUMBERS_EXHAUSTED)
        }
        val advancedRecently = context.steady - fencingTokenAdvancedAtMs < MIN_ADVANCE_INTERVAL_MS
        if (stateWriter.isSlow() || advancedRecently) return quarantineStuckMachines()
        if (fleet.machines.none { needsNewToken(it) || hasTooManyFinished(it) }) return
        fencingTokenAdvancedAtMs = context.steady
        leadership.stepDown(StepDownReason.Local.COMMANDS_WITHOUT_REPLY)
    }

    private fun hasTooManyFinished(machine: Machine): Boolean =
        machine.attempts.size > MAX_FINISHED_ATTEMPTS && machine.attempts.count { it.finished } > MAX_FINISHED_ATTEMPTS

    private fun needsNewToken(machine: Machine): Boolean =
        machine.state == Machine.State.UP &&
            machine.attempts.any { isOutcomeOverdue(it) && (mayStillStartCancelled(it) || it.finished) }

    private fun isOutcomeOverdue(attempt: Attempt): Boolean =
        attempt.directStartOutcomeUnknown && context.steady - attempt.progressAtMs > MAX_OUTCOME_UNKNOWN_MS

    /** Whether the job of [attempt] is cancelled, and a start that was sent may still be carried out. */
    private fun mayStillStartCancelled(attempt: Attempt): Boolean =
        attempt.phase == Attempt.Phase.START_SENT && attempt.job.cancelled

    /**
     * Handles cancelled starts while the fencing token is not advanced. It is advanced at most every
     * [MIN_ADVANCE_INTERVAL_MS], and not while writes are slow or fail: stepping down then let the leases of all
     * machines expire in an earlier version. Without a new token, only the end of the machine's epoch rules out that
     * the start is carried out, so the machine's heartbeats get no response with status 200 until its lease expires.
     */
    private fun quarantineStuckMachines() {
        for (machine in fleet.machines) {
            if (machine.availability.quarantined || machine.state != Machine.State.UP) continue
            if (machine.attempts.none { isOutcomeOverdue(it) && mayStillStartCancelled(it) }) continue
            context.info("${machine.name} is quarantined until its lease expires: it may still start a cancelled task")
            machine.availability.quarantine()
        }
    }

    private companion object {
        /** Least time between two step-downs that advance the fencing token. */
        const val MIN_ADVANCE_INTERVAL_MS = 20_000L

        /** How long the outcome of a direct start may stay unknown before it has to be resolved. */
        const val MAX_OUTCOME_UNKNOWN_MS = 6000L

        /** A machine whose last heartbeat is older than this many heartbeat intervals is not sent any commands. */
        const val MAX_HEARTBEAT_AGE_INTERVALS = 2

        /**
         * With more finished attempts than this on one machine, the fencing token is advanced so that the worker can
         * forget them and its heartbeats get shorter.
         */
        const val MAX_FINISHED_ATTEMPTS = 200

        /** With more finished attempts than this on one machine, starts are not sent directly to it. */
        const val MAX_REMEMBERED_ATTEMPTS = 64

        /** Most direct calls at once, since each takes a connection. Probes beyond this wait for the next call. */
        const val MAX_CALLS = 20
    }
}
