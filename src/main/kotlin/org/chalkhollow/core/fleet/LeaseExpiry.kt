package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.common.CoreContext

/**
 * Owns when workers' leases have certainly expired. Only then are the attempts on a machine that sends no heartbeats
 * confirmed absent. Clocks drift, so expiry may be detected late but never early. Called by [Fleet].
 */
class LeaseExpiry(
    private val context: CoreContext,
    private val table: MachineTable,
    private val events: MachineEvents,
    leaseMs: Long,
) {
    /** A lease has certainly expired this long after the last heartbeat that got a response. */
    private val expiresAfterMs = leaseMs + leaseMs / CLOCK_DRIFT_DIVISOR + MARGIN_MS

    /**
     * No lease expires before this. Each heartbeat with a response postpones its machine's expiry, and a lease that
     * begins later also expires later.
     */
    private var nextExpiryAtMs = 0L

    fun start() {
        nextExpiryAtMs = 0L
    }

    /** Expires the leases that have certainly ended. */
    fun expireDue() {
        val now = context.steady
        if (now < nextExpiryAtMs) return
        nextExpiryAtMs = now + expiresAfterMs
        for (machine in table.all) {
            if (machine.state != Machine.State.UP && machine.attempts.isEmpty()) continue
            val expiresAtMs = machine.lease.respondedAtMs + expiresAfterMs
            if (now < expiresAtMs) {
                nextExpiryAtMs = minOf(nextExpiryAtMs, expiresAtMs)
            } else {
                expire(machine)
            }
        }
    }

    private fun expire(machine: Machine) {
        // A lost or deleting machine with attempts was to be deleted together with them; whether it is deleted is not
        // known yet.
        val isLostOrDeleting = machine.state == Machine.State.LOST || machine.state == Machine.State.DELETING
        if (!isLostOrDeleting) {
            context.info("the lease of ${machine.name} has expired; its attempts are confirmed absent")
            machine.markLost(since = context.steady)
        }
        events.onMachineGone(machine)
    }

    private companion object {
        const val MARGIN_MS = 500L

        /** The clocks of two machines drift apart by less than 1 ms in this many ms. */
        const val CLOCK_DRIFT_DIVISOR = 500L
    }
}
