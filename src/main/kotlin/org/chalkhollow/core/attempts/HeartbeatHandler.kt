package org.chalkhollow.core.attempts

import org.chalkhollow.core.Controller
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.HttpStatus
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.fleet.ImageLocations
import org.chalkhollow.core.leadership.Leadership
import org.chalkhollow.model.WorkerHeartbeat
import org.chalkhollow.settings.PlatformSettings
import org.chalkhollow.wire.Pack
import org.chalkhollow.wire.WorkerCodec

/**
 * Answers workers' reports. An answer renews the lease of all that runs on a machine, so only an entitled leader gives
 * one; others name the leader. Called by [Controller].
 */
class HeartbeatHandler(
    private val context: CoreContext,
    settings: PlatformSettings,
    private val leadership: Leadership,
    private val fleet: Fleet,
    private val images: ImageLocations,
    private val reconciler: AttemptReconciler,
    private val commandPlanner: CommandPlanner,
) {
    private val redirects = settings.peers.map { Pack.encode(WorkerCodec.redirect(it.label)) }

    /** The answer that asks for nothing, which most are, for [nothingFor]. */
    private var nothing = ByteArray(0)
    private var nothingFor = -1L

    fun onHeartbeat(call: Int, heartbeat: WorkerHeartbeat) {
        leadership.heartbeatTraffic.note(context.steady)
        if (!leadership.entitled()) return redirect(call)
        val m = fleet.observe(heartbeat)
        if (m == null || m.quarantined) return context.respond(call, HttpStatus.UNAVAILABLE)
        if (heartbeat.seq > m.answeredSeq) {
            // The worker's lease runs from when it sent this report, which is not after now. One that is no newer than
            // another that we answered was sent before it and renews nothing: late copies must not keep a dead machine
            // alive. The reply to a direct command does not count here, since a report sent after it may come before
            // it.
            m.answeredSeq = heartbeat.seq
            m.answeredAt = context.steady
        }
        val newer = heartbeat.seq > m.seq
        if (newer) {
            m.seq = heartbeat.seq
            images.recall(m)
            reconciler.reconcile(m, heartbeat, fromHeartbeat = true)
        }
        val commands = commandPlanner.answering(m, startsAllowed = newer)
        if (commands.isEmpty()) return context.respond(call, HttpStatus.OK, nothing())
        context.respond(call, HttpStatus.OK, WorkerCodec.commands(leadership.fencingToken, commands))
    }

    /** A report that was not read: it came while this controller did not lead. */
    fun onUnread(call: Int) {
        leadership.heartbeatTraffic.note(context.steady)
        redirect(call)
    }

    private fun nothing(): ByteArray {
        if (nothingFor != leadership.fencingToken) {
            nothingFor = leadership.fencingToken
            nothing = Pack.encode(WorkerCodec.commands(nothingFor, emptyList()))
        }
        return nothing
    }

    private fun redirect(call: Int) {
        val leader = leadership.reachableLeader()
        if (leader < 0) return context.respond(call, HttpStatus.UNAVAILABLE)
        context.respond(call, HttpStatus.MISDIRECTED, redirects[leader])
    }
}
