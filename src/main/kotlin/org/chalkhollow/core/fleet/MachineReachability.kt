package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.MS_PER_S

/**
 * Owns whether this controller's messages reach a machine. Heartbeats alone do not show it, since a network partition
 * can cut one direction only: a machine that sends heartbeats but receives nothing looks healthy, and its tasks never
 * start. These events prove that messages arrive:
 * - the machine's first heartbeat with this leader's fencing token,
 * - a start sent by this leader that shows up on the machine,
 * - a direct command that the machine executes,
 * - a heartbeat that follows the last one sooner than it could if the last one had got no response.
 *
 * If heartbeats are rare, not each of them can give the last proof. So a machine is probed with a direct command only
 * after several heartbeat intervals without proof. If the probe brings no proof either, the machine gets no new tasks.
 * Only placement and scale-in depend on this; whether attempts are confirmed absent does not. [Fleet] calls it,
 * [ScaleIn] and [ScaleOut] read it.
 */
class MachineReachability(private val context: CoreContext, heartbeatIntervalS: Double, leaseS: Double) {
    private val proofMaxAgeMs = maxOf(NO_RESPONSE_GAP_MS, (heartbeatIntervalS * PROOF_AGE_MS_PER_INTERVAL_S).toLong())

    /** A heartbeat that has not come after this long is overdue, not just a little late. */
    private val overdueAfterMs = (heartbeatIntervalS * OVERDUE_MS_PER_INTERVAL_S).toLong() + MAX_DELAY_MS
    private val unresponsiveAfterMs =
        maxOf((leaseS * MS_PER_S / 2).toLong(), overdueAfterMs + COMMAND_TIMEOUT_MS + MAX_DELAY_MS)

    /**
     * Handles a heartbeat of [machine] that is newer than all before it. [hasCurrentToken]: it shows this leader's
     * fencing token; [isFirstWithToken]: for the first time.
     */
    fun onHeartbeat(machine: Machine, isNewEpoch: Boolean, isFirstWithToken: Boolean, hasCurrentToken: Boolean) {
        if (isNewEpoch) machine.reachability.beginEpoch()
        val followsResponse = !isNewEpoch && followsHeartbeatWithResponse(machine)
        if (hasCurrentToken && (isFirstWithToken || followsResponse)) machine.reachability.recordProof(context.steady)
        updateReachable(machine, hasCurrentToken)
    }

    /** Whether a heartbeat now follows the last one so soon that the worker must have got a response to that one. */
    private fun followsHeartbeatWithResponse(machine: Machine): Boolean {
        val lastHeartbeatAtMs = machine.lease.heartbeatAtMs
        return lastHeartbeatAtMs != Machine.NEVER && context.steady - lastHeartbeatAtMs < NO_RESPONSE_GAP_MS
    }

    /** [machine] did something that only a machine does that this controller's messages reach. */
    fun onProof(machine: Machine) {
        machine.reachability.recordProof(context.steady)
        updateReachable(machine, hasCurrentToken = true)
    }

    private fun updateReachable(machine: Machine, hasCurrentToken: Boolean) {
        val isProofRecent = context.steady - machine.reachability.provedAtMs < proofMaxAgeMs + PROBE_INTERVAL_MS
        val changed = machine.reachability.update(hasCurrentToken && isProofRecent, context.steady)
        if (changed) context.changed()
    }

    /** Whether to probe [machine] with a direct command now; if so, the probe is recorded as sent. */
    fun beginProbeIfDue(machine: Machine): Boolean {
        if (machine.commandInFlight || !needsProbe(machine)) return false
        val now = context.steady
        if (now - machine.reachability.probedAtMs < PROBE_INTERVAL_MS) return false
        machine.reachability.recordProbe(now)
        return true
    }

    private fun needsProbe(machine: Machine): Boolean {
        if (machine.busy && isHeartbeatOverdue(machine)) return true
        return context.steady - machine.reachability.provedAtMs >= proofMaxAgeMs
    }

    /** Whether a heartbeat should have come from [machine] by now. */
    fun isHeartbeatOverdue(machine: Machine): Boolean {
        val lastHeartbeatAtMs = machine.lease.heartbeatAtMs
        return lastHeartbeatAtMs != Machine.NEVER && context.steady - lastHeartbeatAtMs > overdueAfterMs
    }

    /** Whether [machine] has sent nothing for [unresponsiveAfterMs], not even a reply to a probe. */
    fun isUnresponsive(machine: Machine): Boolean {
        if (machine.lease.heartbeatAtMs == Machine.NEVER) return false
        val now = context.steady
        val probedAt = machine.reachability.probedAtMs
        val lastSignAtMs = maxOf(machine.lease.heartbeatAtMs, machine.reachability.provedAtMs)
        return now - lastSignAtMs > unresponsiveAfterMs &&
            probedAt > lastSignAtMs && now - probedAt > COMMAND_TIMEOUT_MS
    }

    private companion object {
        /**
         * A worker that gets no response waits 4 s for it and sends its next heartbeat 1 s later. On this controller's
         * clock that can be a little less.
         */
        const val NO_RESPONSE_GAP_MS = 4500L

        /** A machine is probed after three heartbeat intervals without proof. */
        const val PROOF_AGE_MS_PER_INTERVAL_S = 3000

        /** Workers send heartbeats after 0.75 to 1.25 of their interval; later ones are overdue. */
        const val OVERDUE_MS_PER_INTERVAL_S = 1250

        /** How much later than expected a response or a heartbeat may arrive. */
        const val MAX_DELAY_MS = 500L

        /** How long a direct command waits for its reply. */
        const val COMMAND_TIMEOUT_MS = 3000L
        const val PROBE_INTERVAL_MS = 4000L
    }
}
