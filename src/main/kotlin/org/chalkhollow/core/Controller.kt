package org.chalkhollow.core

import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.Input
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.leadership.Leadership
import org.chalkhollow.core.operations.ControllerGauges
import org.chalkhollow.core.operations.JobView
import org.chalkhollow.core.operations.StatusView
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.PlatformSettings

/**
 * A controller as a pure state machine that turns each input into effects. It has no clock and does no I/O. Two
 * controllers with the same inputs and seed produce the same effects. It passes each input to the module that handles
 * it; [ControllerModules] builds and connects the modules. Called by the runtime and by simulations, on one thread.
 */
class Controller(
    settings: PlatformSettings,
    options: OperatorSettings,
    incarnation: Long,
    start: Now,
    /** When this process started, in monotonic time. Any earlier process of this controller had ended by then. */
    processStartedAtMs: Long = start.steady,
) {
    private val modules = ControllerModules(settings, options, incarnation, start, processStartedAtMs)
    private val context = modules.context
    private val leadership = modules.leadership

    /** [org.chalkhollow.core.common.CoreContext.changes] at the last heartbeat. */
    private var changesAtHeartbeat = -1L

    /** Handles one input and returns the resulting effects. */
    fun step(now: Now, input: Input): List<Effect> {
        context.now = now
        dispatch(input)
        if (leadership.role == Leadership.Role.LEADER && mayCauseWrites(input)) modules.writer.flush()
        modules.lateEffects.stepDone()
        return context.drain()
    }

    private fun dispatch(input: Input) {
        when (input) {
            Input.Tick -> modules.periodic.tick()
            is Input.User -> modules.requests.onRequest(input.call, input.request)
            is Input.Heartbeat -> modules.heartbeats.onHeartbeat(input.call, input.heartbeat)
            is Input.UndecodedHeartbeat -> modules.heartbeats.onUndecodedHeartbeat(input.call)
            is Input.State -> context.reply(input)
            is Input.Cloud -> context.reply(input)
            is Input.WorkerReply -> context.reply(input)
            is Input.Peer -> onPeer(input.from, input.message)
        }
    }

    private fun onPeer(from: Int, message: PeerMessage) {
        when (message) {
            is PeerMessage.Hello -> modules.versions.onHello(from, message)
            is PeerMessage.ForwardedRequest -> modules.requests.onForwardedRequest(from, message)
            is PeerMessage.ForwardedResponse -> modules.requests.onForwardedResponse(message)
            else -> leadership.onPeer(from, message)
        }
    }

    /**
     * Whether [input] may have made a transaction due. Most heartbeats change nothing, and querying all write producers
     * after each heartbeat was the largest part of a leader's processor time. A write that becomes due by time alone
     * waits for the next tick.
     */
    private fun mayCauseWrites(input: Input): Boolean {
        if (input !is Input.Heartbeat) return true
        val changed = context.changes != changesAtHeartbeat
        changesAtHeartbeat = context.changes
        return changed
    }

    /**
     * Checks an [effect] of the last step that is executed late. Returns the effect to execute instead, or null for
     * none.
     */
    fun recheck(now: Now, effect: Effect): Effect? {
        context.now = now
        return modules.lateEffects.check(effect)
    }

    /** Whether this controller may act as the leader at [now]. */
    fun isLeader(now: Now): Boolean {
        context.now = now
        return leadership.mayActAsLeader()
    }

    /** Whether users may send requests to this controller at [now]. */
    fun acceptsRequests(now: Now): Boolean {
        context.now = now
        return modules.requests.readiness.accepts
    }

    /** The status for operators; changes nothing. */
    fun status(now: Now): StatusView {
        context.now = now
        return modules.statusReport.status(modules.term.recordsLoaded)
    }

    /** The status of one job for operators, or null if this controller does not know the job. */
    fun jobStatus(now: Now, id: String): JobView? {
        context.now = now
        return modules.jobReport.job(id)
    }

    /** The gauges as of the last input. */
    val gauges: ControllerGauges
        get() =
            ControllerGauges(
                isLeading = leadership.mayActAsLeader(),
                fencingToken = leadership.fencingToken,
                openJobs = modules.jobs.open.size,
                knownJobs = modules.jobs.size,
                machines = modules.fleet.machines.size,
                versions = modules.versions.byLabel,
                replicas = modules.jobReport.replicas(),
                dropped = context.dropped.counts(),
                held = modules.heldTasks.counts(),
                readiness = modules.requests.readiness,
                forwarded = modules.requests.forwardedCounts,
                probes = modules.requests.probeCounts,
            )
}
