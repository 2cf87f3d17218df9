package org.chalkhollow.core.attempts

import org.chalkhollow.core.Controller
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
import org.chalkhollow.core.storage.StateWriter
import org.chalkhollow.model.Command
import org.chalkhollow.model.WorkerHeartbeat
import org.chalkhollow.settings.PlatformSettings

/**
 * Owns the commands that go straight to workers, beside the answers to their reports: starts as soon as their marker is
 * durable, stops, and questions whether a machine hears us. One without an answer may be carried out as long as our
 * token holds, so its attempt stays in doubt until it is reported, its session ends, or the generation is raised.
 * Called by [Controller].
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
    private val freshMs = (settings.heartbeatIntervalS * FRESH_REPORTS * MS_PER_S).toLong()
    private var fencingTokenAdvancedAt = context.steady

    /** Replies to what was sent in an earlier term mean nothing any more. */
    private var term = 0

    /** This controller begins to lead, or has stopped. */
    fun newTerm() {
        term++
    }

    /**
     * Stops, and starts whose marker has just become durable go straight to the worker; the next report's answer
     * repeats them. A direct command costs many times an answer, so short of processor time starts are left to those.
     */
    fun send(m: Machine) {
        if (!leadership.entitled() || !reachableNow(m)) return
        val starts = if (context.overload.overloaded) emptyList() else m.attempts.filter(::mayStart)
        val stops = m.attempts.filter { (it.stopRequested || it.job.cancelled) && it.onMachine && !it.directStopSent }
        if (starts.isEmpty() && stops.isEmpty()) return
        for (a in stops) a.stopSentDirectly() // once; answers to reports repeat it
        for (a in starts) a.startSentDirectly()
        m.directBusy = true
        m.askedAt = context.steady
        val epoch = m.epoch
        val commands = stops.map(commandPlanner::stop) + starts.map(commandPlanner::start)
        call(m, commands) { reply -> onReply(m, epoch, starts, reply) }
    }

    private fun mayStart(a: Attempt): Boolean =
        a.phase == Attempt.Phase.MARKER_PERSISTED && !a.job.cancelling && !a.job.cancelled

    private fun reachableNow(m: Machine): Boolean {
        if (m.directBusy || m.address.isEmpty() || m.epoch == 0L) return false
        return m.reachable && context.steady - m.heartbeatAt <= freshMs
    }

    /** What is cancelled is stopped at once where few machines have it, else with the answers to their next reports. */
    fun stopAll(job: OpenJob) {
        val machines = fleet.machines.filter { m -> m.attempts.any { it.job === job && it.onMachine } }
        machines.take(MAX_ASKED).forEach(::send)
    }

    /** A direct command without orders: its answer shows that the machine hears us. */
    fun probeDoubtful() {
        var left = MAX_ASKED
        for (m in fleet.machines) {
            if (left == 0) return
            if (m.address.isEmpty() || !fleet.toBeAsked(m)) continue
            left--
            val epoch = m.epoch
            call(m, emptyList()) { reply ->
                if (m.epoch == epoch && reply is CommandReply.Executed) fleet.reached(m)
            }
        }
    }

    private fun call(m: Machine, commands: List<Command>, then: (CommandReply) -> Unit) {
        val inTerm = term
        val epoch = m.epoch
        context.sendCommands(
            { Effect.WorkerCommand(it, m.address, leadership.fencingToken, epoch, commands) },
        ) { reply ->
            if (term == inTerm) then(reply) else context.dropped.count(DroppedInput.REPLY_LATE)
        }
    }

    private fun onReply(m: Machine, epoch: Long, starts: List<Attempt>, reply: CommandReply) {
        m.directBusy = false
        if (reply is CommandReply.NoResponse) return // it may still be executed: see [advanceFencingTokenIfNeeded]
        for (a in starts) a.directStartConcluded()
        if (reply is CommandReply.Executed) {
            onExecuted(m, epoch, reply.heartbeat)
        } else {
            for (a in starts) {
                if (a.phase == Attempt.Phase.START_SENT &&
                    !a.resolved
                ) {
                    a.startDropped()
                }
            }
        }
    }

    private fun onExecuted(m: Machine, epoch: Long, heartbeat: WorkerHeartbeat) {
        val sameSession = heartbeat.epoch == epoch && m.epoch == epoch
        if (sameSession) fleet.reached(m)
        if (!sameSession || heartbeat.machine != m.name) {
            context.dropped.count(DroppedInput.HEARTBEAT_OTHER_INCARNATION)
        } else if (heartbeat.seq <= m.seq) {
            context.dropped.count(DroppedInput.HEARTBEAT_LATE)
        } else {
            m.seq = heartbeat.seq
            reconciler.reconcile(m, heartbeat, fromHeartbeat = false)
        }
        if (m.attempts.any { it.phase == Attempt.Phase.MARKER_PERSISTED }) send(m)
    }

    /**
     * A direct start without an answer may be executed as long as our token holds. When something waits for its fate,
     * the generation is raised: no worker that has seen the new token obeys the old one.
     */
    fun advanceFencingTokenIfNeeded() {
        val t = context.steady
        if (dispatch.exhausted) return leadership.depose("attempt numbers are used up")
        if (log.slow() || t - fencingTokenAdvancedAt < RAISE_MS) return quarantineStuck(t)
        if (fleet.machines.none { stuck(it, t) || keepsTooMany(it) }) return
        fencingTokenAdvancedAt = t
        leadership.depose("raising the generation to settle direct starts without an answer")
    }

    private fun keepsTooMany(m: Machine): Boolean =
        m.attempts.size > MAX_KEPT && m.attempts.count { it.finished } > MAX_KEPT

    private fun stuck(m: Machine, t: Long): Boolean =
        m.state == Machine.State.UP && m.attempts.any { inDoubtForLong(it, t) && (mayYetBegin(it) || it.finished) }

    private fun inDoubtForLong(a: Attempt, t: Long): Boolean = a.directStartUnresolved && t - a.progressAt > STUCK_MS

    /** Whether [a] is cancelled, and its start without an answer may still be carried out. */
    private fun mayYetBegin(a: Attempt): Boolean = a.phase == Attempt.Phase.START_SENT && a.job.cancelled

    /**
     * No generation can be raised while nothing can be written, and giving up the lead then would cost every machine
     * its lease; an earlier version did. Nor is one raised again and again. A cancelled task's start that may still be
     * carried out ends with the session of its machine alone, so that one is answered no more.
     */
    private fun quarantineStuck(t: Long) {
        for (m in fleet.machines) {
            if (m.quarantined || m.state != Machine.State.UP) continue
            if (m.attempts.none { inDoubtForLong(it, t) && mayYetBegin(it) }) continue
            context.info("${m.name} may yet begin what was cancelled, and is left to its lease")
            m.quarantined = true
        }
    }

    private companion object {
        const val RAISE_MS = 20_000L
        const val STUCK_MS = 6000L

        /** A machine that has missed so many reports is not sent anything. */
        const val FRESH_REPORTS = 2

        /** More tasks that are over than this are not kept in a machine's reports for want of a newer token. */
        const val MAX_KEPT = 200

        /** Each takes a connection; those that are left out are asked the next time. */
        const val MAX_ASKED = 20
    }
}
