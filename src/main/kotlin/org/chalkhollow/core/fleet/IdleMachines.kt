package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.settings.OperatorSettings

/**
 * Owns which machines have idled for too long. The operator's own machines stay, and rented ones may idle beside them
 * while they cost less than [OperatorSettings.standbyShare] of what those do. Called by [ScaleIn].
 */
class IdleMachines(
    private val context: CoreContext,
    private val table: MachineTable,
    private val staticMachines: StaticMachines,
    private val options: OperatorSettings,
) {
    fun update(machine: Machine) {
        val idle = machine.isIdle && machine.state == Machine.State.UP
        machine.availability.recordIdle(idle, context.steady)
    }

    /** The machines that need not be kept; with [withoutStandby] none is kept as a standby. */
    fun expendable(withoutStandby: Boolean): List<Machine> {
        val idle = table.all.filter { isIdle(it) && it.name !in staticMachines.names }
        val idleTooLong = idle.filter { context.steady - it.availability.idleSinceMs > idleAllowedMs(it) }
        if (idleTooLong.isEmpty()) return emptyList()
        val expendable = beyondStandby(idleTooLong, withoutStandby)
        return expendable.take(maxOf(0, idle.size - options.spareMachines))
    }

    /** The cheapest are kept on standby as long as the share of the price allows; the others go. */
    private fun beyondStandby(machines: List<Machine>, withoutStandby: Boolean): List<Machine> {
        var standbyPrice = if (withoutStandby) 0.0 else options.standbyShare * staticMachinesPrice()
        val beyond = ArrayList<Machine>()
        for (machine in machines.sortedByDescending(::priceOf).reversed()) {
            standbyPrice -= priceOf(machine)
            if (standbyPrice < 0) beyond.add(machine)
        }
        return beyond
    }

    private fun isIdle(machine: Machine): Boolean =
        machine.state == Machine.State.UP && machine.availability.idleSinceMs != Machine.NEVER &&
            !machine.availability.draining

    /** The dearer a machine is, compared with the cheapest way to have its like, the sooner it goes. */
    private fun idleAllowedMs(machine: Machine): Double {
        val allowedMs = options.idleReturnS * MS_PER_S
        val type = table.types.getOrNull(machine.type) ?: return allowedMs
        val price = priceOf(machine)
        if (price <= 0) return allowedMs
        val cheapest = minOf(type.price, type.spotPrice)
        return allowedMs * minOf(1.0, cheapest / price)
    }

    private fun staticMachinesPrice(): Double = table.all.filter { it.name in staticMachines.names }.sumOf(::priceOf)

    private fun priceOf(machine: Machine): Double = table.priceOf(machine.type, machine.spot)
}
