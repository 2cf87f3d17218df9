package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.common.CoreContext

/** Owns which zones are out of reach: most of their machines are silent, so heartbeats from there are lost. */
class UnreachedZones(
    private val context: CoreContext,
    private val table: MachineTable,
    private val reachability: MachineReachability,
    private val leaseMs: Long,
) {
    private val unreached = HashSet<Int>()

    operator fun contains(zone: Int): Boolean = zone in unreached

    fun update() {
        unreached.clear()
        if (context.steady - table.takenOverAt < leaseMs) return // not heard from yet is not silent
        val started = HashMap<Int, Int>()
        val silent = HashMap<Int, Int>()
        for (machine in table.all) {
            if (machine.state != Machine.State.UP && machine.state != Machine.State.LOST) continue
            started.merge(machine.zone, 1, Int::plus)
            val isSilent = machine.state == Machine.State.LOST || reachability.overdue(machine)
            if (isSilent) silent.merge(machine.zone, 1, Int::plus)
        }
        for ((zone, count) in silent) {
            if (count >= MIN_SILENT && count * PARTS > started.getValue(zone) * SILENT_PARTS) unreached.add(zone)
        }
    }

    private companion object {
        /** A zone is out of reach when more than two thirds, and at least four, of its machines are silent. */
        const val MIN_SILENT = 4
        const val PARTS = 3
        const val SILENT_PARTS = 2
    }
}
