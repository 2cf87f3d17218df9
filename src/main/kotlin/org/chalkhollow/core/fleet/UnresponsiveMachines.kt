package org.chalkhollow.core.fleet

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.common.CoreContext

/**
 * Finds machines that the cloud has reclaimed or that are unresponsive. A deletion that the cloud confirms shows that
 * their attempts do not run any more, long before their leases expire. If many machines of a zone are overdue, the
 * cause is the network or this controller, and the machines may be healthy: they are not deleted, and their leases
 * decide. Called by [ScaleIn].
 */
class UnresponsiveMachines(
    private val context: CoreContext,
    private val table: MachineTable,
    private val reachability: MachineReachability,
    private val leaseMs: Long,
) {
    fun find(): List<Machine> {
        val toDelete = ArrayList<Machine>()
        val unresponsive = ArrayList<Machine>()
        val upByZone = Int2IntOpenHashMap()
        val overdueByZone = Int2IntOpenHashMap()
        for (machine in table.all) {
            if (machine.state != Machine.State.UP) continue
            upByZone.addTo(machine.zone, 1)
            if (reachability.isHeartbeatOverdue(machine)) overdueByZone.addTo(machine.zone, 1)
            if (isReclaimed(machine)) {
                toDelete.add(machine)
            } else if (machine.busy && reachability.isUnresponsive(machine)) {
                unresponsive.add(machine)
            }
        }
        if (context.steady - table.termStartedAtMs < leaseMs) return toDelete
        unresponsive.filterTo(toDelete) { overdueByZone.get(it.zone) * ZONE_OUTAGE_DIVISOR < upByZone.get(it.zone) }
        return toDelete
    }

    private fun isReclaimed(machine: Machine): Boolean =
        machine.availability.hasSpotNotice && context.steady > machine.availability.reclaimAtMs + RECLAIMED_AFTER_MS

    private companion object {
        /** A machine counts as reclaimed this long after the announced time. */
        const val RECLAIMED_AFTER_MS = 1000L

        /** If fewer than one in this many of a zone's machines are overdue, the machines themselves have failed. */
        const val ZONE_OUTAGE_DIVISOR = 3
    }
}
