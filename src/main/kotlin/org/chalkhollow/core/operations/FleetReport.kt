package org.chalkhollow.core.operations

import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.fleet.Fleet

/** Builds the part of the status report on machines. Stateless; called by [StatusReport]. */
internal class FleetReport(private val fleet: Fleet, private val names: Interners) {
    /** Machines that the report counts together. */
    private data class MachineGroup(val type: String, val zone: String, val spot: Boolean, val state: String)

    /** The number of machines in each group. Machines of which only the name is known are omitted. */
    fun machines(): List<MachineView> =
        fleet.machines
            .filter { it.type >= 0 }
            .groupingBy(::group)
            .eachCount()
            .map { (group, count) -> MachineView(group.type, group.zone, group.spot, group.state, count) }
            .sortedBy { it.toString() }

    private fun group(machine: Machine) =
        MachineGroup(names.types.name(machine.type), names.zones.name(machine.zone), machine.spot, state(machine))

    private fun state(machine: Machine): String =
        when {
            machine.state != Machine.State.UP -> machine.state.name.lowercase()
            !machine.reachability.reachable -> "deaf"
            machine.availability.hasSpotNotice -> "noticed"
            machine.availability.draining || machine.availability.cordoned -> "draining"
            machine.isIdle -> "idle"
            else -> "busy"
        }
}
