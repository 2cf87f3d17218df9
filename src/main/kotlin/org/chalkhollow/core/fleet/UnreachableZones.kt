package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.common.CoreContext

/**
 * Owns which zones are unreachable: most of their machines are lost or overdue, so heartbeats from there do not arrive.
 */
class UnreachableZones(
    private val context: CoreContext,
    private val table: MachineTable,
    private val reachability: MachineReachability,
    private val leaseMs: Long,
) {
    private val unreachable = HashSet<Int>()

    operator fun contains(zone: Int): Boolean = zone in unreachable

    fun update() {
        unreachable.clear()
        if (context.steady - table.termStartedAtMs < leaseMs) return // first heartbeats may still be due
        val startedByZone = HashMap<Int, Int>()
        val overdueByZone = HashMap<Int, Int>()
        for (machine in table.all) {
            if (machine.state != Machine.State.UP && machine.state != Machine.State.LOST) continue
            startedByZone.merge(machine.zone, 1, Int::plus)
            val isOverdue = machine.state == Machine.State.LOST || reachability.isHeartbeatOverdue(machine)
            if (isOverdue) overdueByZone.merge(machine.zone, 1, Int::plus)
        }
        for ((zone, count) in overdueByZone) {
            if (count >= MIN_OVERDUE_COUNT && count * DENOMINATOR > startedByZone.getValue(zone) * NUMERATOR) {
                unreachable.add(zone)
            }
        }
    }

    private companion object {
        /** A zone is unreachable if more than two thirds, and at least four, of its machines are lost or overdue. */
        const val MIN_OVERDUE_COUNT = 4
        const val DENOMINATOR = 3
        const val NUMERATOR = 2
    }
}
