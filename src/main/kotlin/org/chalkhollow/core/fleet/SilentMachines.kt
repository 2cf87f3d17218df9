package org.chalkhollow.core.fleet

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.common.CoreContext

/**
 * Finds machines that the cloud has reclaimed, or that send nothing and do not answer: a deletion that the cloud
 * confirms proves what was on them gone, long before their leases expire. Where much of a zone is silent it is the
 * network or ourselves, and everything there may be well; those are left to their leases. Called by [ScaleIn].
 */
class SilentMachines(
    private val context: CoreContext,
    private val table: MachineTable,
    private val reachability: MachineReachability,
    private val leaseMs: Long,
) {
    fun find(): List<Machine> {
        val found = ArrayList<Machine>()
        val silent = ArrayList<Machine>()
        val upByZone = Int2IntOpenHashMap()
        val overdueByZone = Int2IntOpenHashMap()
        for (machine in table.all) {
            if (machine.state != Machine.State.UP) continue
            upByZone.addTo(machine.zone, 1)
            if (reachability.overdue(machine)) overdueByZone.addTo(machine.zone, 1)
            if (isReclaimed(machine)) {
                found.add(machine)
            } else if (machine.busy && reachability.silent(machine)) {
                silent.add(machine)
            }
        }
        if (context.steady - table.takenOverAt < leaseMs) return found
        silent.filterTo(found) { overdueByZone.get(it.zone) * SILENT_PART < upByZone.get(it.zone) }
        return found
    }

    private fun isReclaimed(machine: Machine): Boolean =
        machine.availability.hasSpotNotice && context.steady > machine.availability.reclaimAtMs + RECLAIMED_MS

    private companion object {
        /** This long after the announced moment a machine counts as reclaimed. */
        const val RECLAIMED_MS = 1000L

        /** Silence of less than one in this many of a zone's machines is their own. */
        const val SILENT_PART = 3
    }
}
