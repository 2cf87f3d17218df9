package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.MS_PER_S

/**
 * Owns the judgement whether our messages reach a machine. Heartbeats alone do not tell, since a network cut can stop
 * one direction only; a machine that sends heartbeats and receives nothing looks alive, and what it is given waits for
 * ever. Proofs are: its first heartbeat at our fencing token, a start of ours that shows up, a direct command that it
 * answers, and a next heartbeat that comes sooner than one can that follows a heartbeat without an answer. Where
 * heartbeats are rare, that last one is not to be had from each, so a machine is doubted only when proofs fail to come
 * for several heartbeats, then probed with a direct command, and given no more work when that brings no proof either.
 * Only placement and scaling in rest on this, no proof about attempts does. [Fleet] calls it, [ScaleIn] and [ScaleOut]
 * read it.
 */
class MachineReachability(private val context: CoreContext, heartbeatIntervalS: Double, leaseS: Double) {
    private val doubtMs = maxOf(UNANSWERED_GAP_MS, (heartbeatIntervalS * DOUBT_MS_PER_S).toLong())

    /** A heartbeat is overdue after this long; silence from then on means more than that it is a little late. */
    private val overdueMs = (heartbeatIntervalS * OVERDUE_MS_PER_S).toLong() + LATE_MS
    private val silentMs = maxOf((leaseS * MS_PER_S / 2).toLong(), overdueMs + DIRECT_MS + LATE_MS)

    /** A heartbeat of [machine] has come in that is newer than all before it. */
    fun onHeartbeat(machine: Machine, newEpoch: Boolean, showsOurFencingToken: Boolean, atOurFencingToken: Boolean) {
        if (newEpoch) machine.reachability.beginEpoch()
        val soon = !newEpoch && followsSoon(machine)
        if (atOurFencingToken && (showsOurFencingToken || soon)) machine.reachability.recordProof(context.steady)
        judge(machine, atOurFencingToken)
    }

    /** Whether a heartbeat now comes too soon after the last one for that to have had no answer. */
    private fun followsSoon(machine: Machine): Boolean {
        val last = machine.lease.heartbeatAtMs
        return last != Machine.NEVER && context.steady - last < UNANSWERED_GAP_MS
    }

    /** [machine] did what only one that our messages reach does. */
    fun onProof(machine: Machine) {
        machine.reachability.recordProof(context.steady)
        judge(machine, atOurFencingToken = true)
    }

    private fun judge(machine: Machine, atOurFencingToken: Boolean) {
        val provedLately = context.steady - machine.reachability.provedAtMs < doubtMs + PROBE_EVERY_MS
        val changed = machine.reachability.update(atOurFencingToken && provedLately, context.steady)
        if (changed) context.changed()
    }

    /** Whether to probe [machine] now with a direct command; if so, the probe is taken as sent. */
    fun startProbe(machine: Machine): Boolean {
        if (machine.commandInFlight || !isDoubtful(machine)) return false
        val now = context.steady
        if (now - machine.reachability.probedAtMs < PROBE_EVERY_MS) return false
        machine.reachability.recordProbe(now)
        return true
    }

    private fun isDoubtful(machine: Machine): Boolean {
        if (machine.busy && overdue(machine)) return true
        return context.steady - machine.reachability.provedAtMs >= doubtMs
    }

    /** Whether a heartbeat should have come from [machine] by now. */
    fun overdue(machine: Machine): Boolean {
        val last = machine.lease.heartbeatAtMs
        return last != Machine.NEVER && context.steady - last > overdueMs
    }

    /** Whether [machine] has sent nothing for long, not even the reply to a probe. */
    fun silent(machine: Machine): Boolean {
        if (machine.lease.heartbeatAtMs == Machine.NEVER) return false
        val now = context.steady
        val probedAt = machine.reachability.probedAtMs
        val lastSignAt = maxOf(machine.lease.heartbeatAtMs, machine.reachability.provedAtMs)
        return now - lastSignAt > silentMs && probedAt > lastSignAt && now - probedAt > DIRECT_MS
    }

    private companion object {
        /**
         * A worker that gets no answer waits 4 s for it and sends its next heartbeat after another one, a little less
         * by our clock.
         */
        const val UNANSWERED_GAP_MS = 4500L

        /** A machine is doubted when there was no proof for three heartbeat intervals. */
        const val DOUBT_MS_PER_S = 3000

        /** Workers send heartbeats after three quarters to five quarters of their interval; later ones are overdue. */
        const val OVERDUE_MS_PER_S = 1250

        /** How much later than expected an answer or a heartbeat may be. */
        const val LATE_MS = 500L

        /** How long a direct command waits for its reply. */
        const val DIRECT_MS = 3000L
        const val PROBE_EVERY_MS = 4000L
    }
}
