package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.fleet.ImageLocations
import org.chalkhollow.core.leadership.Leadership
import org.chalkhollow.model.HttpStatus
import org.chalkhollow.model.WorkerHeartbeat
import org.chalkhollow.settings.PlatformSettings
import org.chalkhollow.wire.Pack
import org.chalkhollow.wire.WorkerCodec

/**
 * Responds to workers' heartbeats. A response with status 200 renews the worker's lease, so only a controller that may
 * act as the leader sends one; other controllers redirect the worker to the leader. Owns no state of the cluster.
 * Called by the controller for each heartbeat.
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
    private val redirectBodies = settings.peers.map { Pack.encode(WorkerCodec.redirect(it.label)) }

    /** The encoded response without commands, cached because most responses have none, and its fencing token. */
    private var emptyResponse = ByteArray(0)
    private var emptyResponseToken = -1L

    fun onHeartbeat(call: Int, heartbeat: WorkerHeartbeat) {
        leadership.heartbeatTraffic.received(context.steady)
        if (!leadership.mayActAsLeader()) return redirect(call)
        val machine = fleet.observe(heartbeat)
        if (machine == null || machine.availability.quarantined) return context.respond(call, HttpStatus.UNAVAILABLE)
        machine.lease.renew(heartbeat.seq, context.steady)
        val isNewest = machine.lease.advanceStatus(heartbeat.seq)
        if (isNewest) {
            images.restoreCachedImages(machine)
            reconciler.reconcile(machine, heartbeat, fromHeartbeat = true)
        }
        respond(call, machine, startsAllowed = isNewest)
    }

    private fun respond(call: Int, machine: Machine, startsAllowed: Boolean) {
        val commands = commandPlanner.commandsForResponse(machine, startsAllowed)
        if (commands.isEmpty()) return context.respond(call, HttpStatus.OK, emptyResponse())
        context.respond(call, HttpStatus.OK, WorkerCodec.commands(leadership.fencingToken, commands))
    }

    /** Redirects a heartbeat that was not decoded, because this controller was not the leader when it arrived. */
    fun onUndecodedHeartbeat(call: Int) {
        leadership.heartbeatTraffic.received(context.steady)
        redirect(call)
    }

    private fun emptyResponse(): ByteArray {
        if (emptyResponseToken != leadership.fencingToken) {
            emptyResponseToken = leadership.fencingToken
            emptyResponse = Pack.encode(WorkerCodec.commands(emptyResponseToken, emptyList()))
        }
        return emptyResponse
    }

    private fun redirect(call: Int) {
        val leader = leadership.reachableLeader()
        if (leader < 0) return context.respond(call, HttpStatus.UNAVAILABLE)
        context.respond(call, HttpStatus.MISDIRECTED, redirectBodies[leader])
    }
}
