package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.MS_PER_S

/**
 * Owns whether machines hear us. Reports alone do not tell, since a cut can stop one direction only; a machine that
 * reports and hears nothing looks alive, and what it is given waits for ever. Proofs are: its first report at our
 * token, a start of ours that shows up, a direct command that it answers, and a next report that comes sooner than one
 * can that follows a report without an answer. Where reports are rare, that last one is not to be had from each, so a
 * machine is doubted only when proofs fail to come for several reports, then asked directly, and given no more work
 * when that brings no proof either. Only placement and the return of machines rest on this, no proof about attempts
 * does.
 */
class MachineReachability(private val context: CoreContext, heartbeatIntervalS: Double, leaseS: Double) {
    private val doubtMs = maxOf(UNANSWERED_GAP_MS, (heartbeatIntervalS * DOUBT_MS_PER_S).toLong())

    /** A report is overdue after this long; no news from then on means more than that the next one is a little late. */
    private val overdueMs = (heartbeatIntervalS * OVERDUE_MS_PER_S).toLong() + LATE_MS
    private val silentMs = maxOf((leaseS * MS_PER_S / 2).toLong(), overdueMs + DIRECT_MS + LATE_MS)

    /** A report that is newer than all before it has come in from [m]. */
    fun reported(m: Machine, newEpoch: Boolean, showsOurFencingToken: Boolean, atOurFencingToken: Boolean) {
        val t = context.steady
        if (newEpoch) {
            m.reachability.beginEpoch()
        }
        val soon = !newEpoch && m.lease.heartbeatAt != Machine.NEVER && t - m.lease.heartbeatAt < UNANSWERED_GAP_MS
        if (atOurFencingToken && (showsOurFencingToken || soon)) m.reachability.recordProof(t)
        judge(m, atOurFencingToken)
    }

    /** [m] did what only one that hears us does. */
    fun proved(m: Machine) {
        m.reachability.recordProof(context.steady)
        judge(m, true)
    }

    private fun judge(m: Machine, atOurFencingToken: Boolean) {
        val reachable = atOurFencingToken && context.steady - m.reachability.provedAt < doubtMs + PROBE_EVERY_MS
        if (m.reachability.update(reachable, context.steady)) context.changed()
    }

    /** Whether to probe [m] now with a direct command; if so, the probe is taken as sent. */
    fun startProbe(m: Machine): Boolean {
        if (m.directBusy || !isDoubtful(m)) return false
        val now = context.steady
        if (now - m.reachability.probedAt < PROBE_EVERY_MS) return false
        m.reachability.recordProbe(now)
        return true
    }

    private fun isDoubtful(m: Machine): Boolean {
        if (m.busy && overdue(m)) return true
        return context.steady - m.reachability.provedAt >= doubtMs
    }

    /** Whether a report should have come from [m] by now. */
    fun overdue(m: Machine): Boolean =
        m.lease.heartbeatAt != Machine.NEVER && context.steady - m.lease.heartbeatAt > overdueMs

    /** Whether [m] has said nothing for long, not even when it was asked. */
    fun silent(m: Machine): Boolean {
        val t = context.steady
        return m.lease.heartbeatAt != Machine.NEVER &&
            t - maxOf(m.lease.heartbeatAt, m.reachability.provedAt) > silentMs &&
            m.reachability.probedAt > maxOf(m.lease.heartbeatAt, m.reachability.provedAt) &&
            t - m.reachability.probedAt > DIRECT_MS
    }

    private companion object {
        /**
         * A worker that gets no answer waits 4 s for it and reports again after another one, a little less by our
         * clock.
         */
        const val UNANSWERED_GAP_MS = 4500L

        /** A machine is doubted when there was no proof for three periods of its reports. */
        const val DOUBT_MS_PER_S = 3000

        /** Workers report after three quarters to five quarters of their period; what comes later is overdue. */
        const val OVERDUE_MS_PER_S = 1250

        /** How much later than expected an answer or a report may be. */
        const val LATE_MS = 500L

        /** How long a direct command waits for its answer, and how often one is sent to ask. */
        const val DIRECT_MS = 3000L
        const val PROBE_EVERY_MS = 4000L
    }
}
