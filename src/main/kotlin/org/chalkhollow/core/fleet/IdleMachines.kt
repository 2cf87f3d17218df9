package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.settings.OperatorSettings

/**
 * Owns which machines have been idle for too long. The operator's own machines stay. Rented machines may stay idle as a
 * standby while together they cost less than [OperatorSettings.standbyCostFraction] of what the operator's own machines
 * cost. Called by [ScaleIn].
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

    /** The idle machines that can be deleted; with [withoutStandby] none is kept as a standby. */
    fun deletable(withoutStandby: Boolean): List<Machine> {
        val idle = table.all.filter { isIdle(it) && it.name !in staticMachines.names }
        val idleTooLong = idle.filter { context.steady - it.availability.idleSinceMs > maxIdleMs(it) }
        if (idleTooLong.isEmpty()) return emptyList()
        val deletable = exceedingStandby(idleTooLong, withoutStandby)
        return deletable.take(maxOf(0, idle.size - options.spareMachines))
    }

    /** Keeps the cheapest machines as a standby, up to the price that is allowed for it; returns the others. */
    private fun exceedingStandby(machines: List<Machine>, withoutStandby: Boolean): List<Machine> {
        var remainingStandbyPrice = if (withoutStandby) 0.0 else options.standbyCostFraction * staticMachinesPrice()
        val exceeding = ArrayList<Machine>()
        for (machine in machines.sortedByDescending(::priceOf).reversed()) {
            remainingStandbyPrice -= priceOf(machine)
            if (remainingStandbyPrice < 0) exceeding.add(machine)
        }
        return exceeding
    }

    private fun isIdle(machine: Machine): Boolean =
        machine.state == Machine.State.UP && machine.availability.idleSinceMs != Machine.NEVER &&
            !machine.availability.draining

    /** How long a machine may idle: the more it costs compared with the cheapest offer of its type, the shorter. */
    private fun maxIdleMs(machine: Machine): Double {
        val baseMaxIdleMs = options.maxIdleS * MS_PER_S
        val type = table.types.getOrNull(machine.type) ?: return baseMaxIdleMs
        val price = priceOf(machine)
        if (price <= 0) return baseMaxIdleMs
        val cheapestPrice = minOf(type.price, type.spotPrice)
        return baseMaxIdleMs * minOf(1.0, cheapestPrice / price)
    }

    private fun staticMachinesPrice(): Double = table.all.filter { it.name in staticMachines.names }.sumOf(::priceOf)

    private fun priceOf(machine: Machine): Double = table.priceOf(machine.type, machine.spot)
}
