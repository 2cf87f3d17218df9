package org.chalkhollow.core.operations

import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.fleet.Fleet

/** What the status report shows of machines. Owns nothing; called by [StatusReport]. */
internal class FleetReport(private val fleet: Fleet, private val names: Interners) {
    /** Machines that are alike to an operator. */
    private data class Group(val type: String, val zone: String, val spot: Boolean, val state: String)

    /** How many machines there are of each group; those of which nothing is known but a name are left out. */
    fun machines(): List<MachineView> =
        fleet.machines
            .filter { it.type >= 0 }
            .groupingBy(::group)
            .eachCount()
            .map { (group, count) -> MachineView(group.type, group.zone, group.spot, group.state, count) }
            .sortedBy { it.toString() }

    private fun group(machine: Machine) =
        Group(names.types.name(machine.type), names.zones.name(machine.zone), machine.spot, state(machine))

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
