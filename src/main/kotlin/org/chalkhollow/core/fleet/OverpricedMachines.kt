package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.common.CoreContext

/**
 * Owns which machines are cordoned to save money: when little is asked for, tasks spread thinly over machines that cost
 * more than their like can be had for. A few at a time those take no more tasks, run dry and are deleted; as soon as
 * anything waits they are back in use. Called by [ScaleIn].
 */
class OverpricedMachines(
    private val context: CoreContext,
    private val table: MachineTable,
    private val staticMachines: StaticMachines,
) {
    private var tasksWaitedAt = Machine.NEVER
    private var cordonedAt = Machine.NEVER

    private class Overpriced(val machine: Machine, val freeCpus: Double)

    fun uncordonAll() {
        tasksWaitedAt = context.steady
        for (machine in table.all) machine.availability.uncordon()
    }

    /** Cordons a few machines, if no task has waited for a while and [headroomCpus] and more stay free without them. */
    fun cordonSome(headroomCpus: Double) {
        val now = context.steady
        if (now - tasksWaitedAt < CALM_MS || now - cordonedAt < CORDON_EVERY_MS) return
        val overpriced = find()
        if (overpriced.isEmpty()) return
        var freeCpus = table.placeable().sumOf(::freeCpus)
        for (candidate in overpriced.take(maxOf(1, overpriced.size / CORDONED_PART))) {
            freeCpus -= candidate.freeCpus
            if (freeCpus < headroomCpus * HEADROOMS_KEPT) return
            candidate.machine.availability.cordon()
            cordonedAt = now
        }
    }

    /** The emptiest first. */
    private fun find(): List<Overpriced> =
        table
            .placeable()
            .filter(::isOverpriced)
            .map { Overpriced(it, freeCpus(it)) }
            .sortedByDescending { it.freeCpus }

    private fun freeCpus(machine: Machine): Double = machine.freeCapacity(table.types).cpus

    private fun isOverpriced(machine: Machine): Boolean {
        val type = table.types.getOrNull(machine.type) ?: return false
        if (machine.name in staticMachines.names) return false
        // A replica never ends, so a machine that has one would never run dry.
        if (machine.attempts.any { it.job.service }) return false
        return table.priceOf(machine.type, machine.spot) > minOf(type.price, type.spotPrice)
    }

    private companion object {
        const val CALM_MS = 3000L
        const val CORDON_EVERY_MS = 1500L

        /** One in this many of the overpriced machines is cordoned at a time. */
        const val CORDONED_PART = 15

        /** So many times the headroom for urgent work stays free on the machines that are not cordoned. */
        const val HEADROOMS_KEPT = 2.0
    }
}
