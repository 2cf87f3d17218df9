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
 * A controller as a pure state machine: an input at a moment in, effects out. It has no clock, does no I/O, and two
 * controllers given the same inputs and seed do the same. It passes each input to the module that owns it; the modules
 * and what ties them together are in [ControllerModules]. Called by the runtime and by simulations, on one thread.
 */
class Controller(
    settings: PlatformSettings,
    options: OperatorSettings,
    incarnation: Long,
    start: Now,
    /** When this process began, by the steady clock; an earlier process of this controller had ended by then. */
    processStartedAtMs: Long = start.steady,
) {
    private val modules = ControllerModules(settings, options, incarnation, start, processStartedAtMs)
    private val context = modules.context
    private val leadership = modules.leadership

    /** [org.chalkhollow.core.common.CoreContext.changes] when writes were last collected after a heartbeat. */
    private var changesPumped = -1L

    /** Handles one input and returns what is to be done about it. */
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
            is Input.UnreadHeartbeat -> modules.heartbeats.onUnread(input.call)
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
     * Whether a transaction may be due because of [input]. Most heartbeats change nothing, and asking all sources for
     * writes after each of them was the largest part of a leader's work; what falls due by time alone waits for the
     * next tick.
     */
    private fun mayCauseWrites(input: Input): Boolean {
        if (input !is Input.Heartbeat) return true
        val changed = context.changes != changesPumped
        changesPumped = context.changes
        return changed
    }

    /**
     * What is still to be done of [effect], which the last step decided, when it is carried out only now; null for
     * nothing.
     */
    fun recheck(now: Now, effect: Effect): Effect? {
        context.now = now
        return modules.lateEffects.check(effect)
    }

    /** Whether this controller is entitled to act as the leader at this moment. */
    fun isLeader(now: Now): Boolean {
        context.now = now
        return leadership.entitled()
    }

    /** Whether users may be sent here: this controller leads, or has lately heard from the leader. */
    fun acceptsRequests(now: Now): Boolean {
        context.now = now
        return leadership.inTouch(IN_TOUCH_MS)
    }

    /** For operators; changes nothing. */
    fun status(now: Now): StatusView {
        context.now = now
        return modules.statusReport.status(modules.term.recordsLoaded)
    }

    /** For operators: one job, or null when this controller does not know it. */
    fun jobStatus(now: Now, id: String): JobView? {
        context.now = now
        return modules.jobReport.job(id)
    }

    /** As of the last input. */
    val gauges: ControllerGauges
        get() =
            ControllerGauges(
                leading = leadership.entitled(),
                fencingToken = leadership.fencingToken,
                openJobs = modules.jobs.open.size,
                jobs = modules.jobs.size,
                machines = modules.fleet.machines.size,
                versions = modules.versions.all,
                replicas = modules.jobReport.replicas(),
                dropped = context.dropped.counts(),
            )

    private companion object {
        /** A follower that has heard nothing from a leader for so long says that it takes no requests. */
        const val IN_TOUCH_MS = 3500L
    }
}
