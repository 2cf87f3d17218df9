package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.common.CoreContext

/**
 * Owns when workers' leases have certainly expired. Only then does what was on a machine that has fallen silent count
 * as gone, so the moment has to be late by any drift of clocks, never early. Called by [Fleet].
 */
class LeaseExpiry(
    private val context: CoreContext,
    private val table: MachineTable,
    private val events: MachineEvents,
    leaseMs: Long,
) {
    /** After this long without an answered heartbeat a lease has certainly expired. */
    private val expiresAfterMs = leaseMs + leaseMs / DRIFT_OF + MARGIN_MS

    /** No lease expires before then: each answer puts its machine's expiry off, and one that comes later is longer. */
    private var nextExpiryAt = 0L

    fun start() {
        nextExpiryAt = 0L
    }

    /** Expires the leases that have certainly run out. */
    fun run() {
        val now = context.steady
        if (now < nextExpiryAt) return
        nextExpiryAt = now + expiresAfterMs
        for (machine in table.all) {
            if (machine.state != Machine.State.UP && machine.attempts.isEmpty()) continue
            val expiresAt = machine.lease.respondedAtMs + expiresAfterMs
            if (now < expiresAt) {
                nextExpiryAt = minOf(nextExpiryAt, expiresAt)
            } else {
                expire(machine)
            }
        }
    }

    private fun expire(machine: Machine) {
        // One that is lost or to be deleted and still has tasks was to be deleted with them, and whether it is gone is
        // not known yet.
        val wasExpired = machine.state == Machine.State.LOST || machine.state == Machine.State.DELETING
        if (!wasExpired) {
            context.info("the lease of ${machine.name} has expired")
            machine.markLost(since = context.steady)
        }
        events.onMachineGone(machine)
    }

    private companion object {
        const val MARGIN_MS = 500L

        /** Clocks of two machines drift apart by less than one part in this many. */
        const val DRIFT_OF = 500L
    }
}
