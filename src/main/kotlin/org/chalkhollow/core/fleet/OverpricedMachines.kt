package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.common.CoreContext

/**
 * Owns which machines are cordoned to save cost. At low load tasks are spread thinly over machines that cost more than
 * the cheapest offer of their type. A few of these at a time are cordoned, and deleted once their tasks have ended. As
 * soon as any task waits, all are uncordoned. Called by [ScaleIn].
 */
class OverpricedMachines(
    private val context: CoreContext,
    private val table: MachineTable,
    private val staticMachines: StaticMachines,
) {
    private var tasksLastWaitedAtMs = Machine.NEVER
    private var lastCordonedAtMs = Machine.NEVER

    private class Overpriced(val machine: Machine, val freeCpus: Double)

    fun uncordonAll() {
        tasksLastWaitedAtMs = context.steady
        for (machine in table.all) machine.availability.uncordon()
    }

    /**
     * Cordons a few machines if no task has waited for [NO_WAITING_TASKS_MS] and the other machines keep
     * [FREE_HEADROOM_FACTOR] times [headroomCpus] free.
     */
    fun cordonSome(headroomCpus: Double) {
        val now = context.steady
        if (now - tasksLastWaitedAtMs < NO_WAITING_TASKS_MS || now - lastCordonedAtMs < CORDON_INTERVAL_MS) return
        val overpriced = findOverpriced()
        if (overpriced.isEmpty()) return
        var freeCpus = table.placeable().sumOf(::freeCpus)
        for (candidate in overpriced.take(maxOf(1, overpriced.size / OVERPRICED_PER_CORDONED))) {
            freeCpus -= candidate.freeCpus
            if (freeCpus < headroomCpus * FREE_HEADROOM_FACTOR) return
            candidate.machine.availability.cordon()
            lastCordonedAtMs = now
        }
    }

    /** Overpriced machines, those with the most free CPUs first. */
    private fun findOverpriced(): List<Overpriced> =
        table
            .placeable()
            .filter(::isOverpriced)
            .map { Overpriced(it, freeCpus(it)) }
            .sortedByDescending { it.freeCpus }

    private fun freeCpus(machine: Machine): Double = machine.freeCapacity(table.types).cpus

    private fun isOverpriced(machine: Machine): Boolean {
        val type = table.types.getOrNull(machine.type) ?: return false
        if (machine.name in staticMachines.names) return false
        // A replica runs until its job is cancelled, so its machine would never become idle.
        if (machine.attempts.any { it.job.service }) return false
        return table.priceOf(machine.type, machine.spot) > minOf(type.price, type.spotPrice)
    }

    private companion object {
        const val NO_WAITING_TASKS_MS = 3000L
        const val CORDON_INTERVAL_MS = 1500L

        /** One in this many of the overpriced machines is cordoned at a time. */
        const val OVERPRICED_PER_CORDONED = 15

        /** The machines that are not cordoned keep this many times the headroom for urgent work free. */
        const val FREE_HEADROOM_FACTOR = 2.0
    }
}
