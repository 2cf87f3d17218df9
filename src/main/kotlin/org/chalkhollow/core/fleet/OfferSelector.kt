package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.core.common.leaseMs
import org.chalkhollow.model.MachineType
import org.chalkhollow.model.Resources
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.PlatformSettings

/** How many machines of one offer are wanted. */
class WantedMachines(val offer: Offer, val count: Int)

/**
 * Chooses what to rent for tasks that fit neither the machines that are up nor those that boot: for each the cheapest
 * offer that is not backed off, within the bounds on the fleet's size. Sends nothing; called by [ScaleOut].
 */
class OfferSelector(
    private val context: CoreContext,
    private val names: Interners,
    private val table: MachineTable,
    reachability: MachineReachability,
    private val backoff: OfferBackoff,
    settings: PlatformSettings,
    options: OperatorSettings,
) {
    /**
     * The limits of all teams together, and half as much again, since tasks leave part of the machines' capacity
     * unused. More CPUs would stay idle.
     */
    private val maxCpus = settings.teams.sumOf { it.cpusMax } * FRAGMENTATION_FACTOR
    private val maxMachines = if (options.maxMachines == 0) Int.MAX_VALUE else options.maxMachines
    private val unreachableZones = UnreachableZones(context, table, reachability, settings.leaseMs)

    /** The fleet together with the machines chosen so far. */
    private inner class ExpectedFleet {
        val machines = bootingMachines()
        val machinesByZone = HashMap<Int, Int>()
        private var machineCount = table.size
        private var cpus = table.cpus()

        val isFull: Boolean get() = machineCount >= maxMachines || cpus >= maxCpus

        init {
            for (machine in table.all) machinesByZone.merge(machine.zone, 1, Int::plus)
        }

        fun add(machine: ExpectedMachine) {
            machines.add(machine)
            machinesByZone.merge(machine.zone, 1, Int::plus)
            machineCount++
            cpus += machine.freeCapacity.cpus
        }
    }

    /** A machine that boots or is to be rented, with the capacity that is not allocated yet. */
    private class ExpectedMachine(val type: Int, val zone: Int, val spot: Boolean, var freeCapacity: Resources) {
        /** Allocates capacity to as many of [count] tasks as fit; returns how many. */
        fun allocate(job: OpenJob, count: Int): Int {
            val fitting = minOf(count, job.taskResources.countIn(freeCapacity))
            if (fitting > 0) freeCapacity = freeCapacity.without(job.taskResources, fitting)
            return fitting
        }
    }

    /** The machines to rent for the most urgent of [unplaced] that need any; null if none do. */
    fun select(unplaced: List<UnplacedTasks>): WantedMachines? {
        unreachableZones.update()
        val fleet = ExpectedFleet()
        val wanted = LinkedHashMap<Offer, Int>()
        for (tasks in unplaced) addOffers(tasks, fleet, wanted)
        val (offer, count) = wanted.entries.firstOrNull() ?: return null
        return WantedMachines(offer, minOf(count, MAX_MACHINES_PER_REQUEST))
    }

    /** Adds to [wanted] the machines that [tasks] need beyond those of [fleet]. */
    private fun addOffers(tasks: UnplacedTasks, fleet: ExpectedFleet, wanted: MutableMap<Offer, Int>) {
        var remaining = countUnplaced(tasks, fleet.machines)
        while (remaining > 0 && !fleet.isFull) {
            val offer = cheapestOffer(tasks, fleet.machinesByZone) ?: return
            val capacity = table.types[offer.type]?.capacity ?: return
            val machine = ExpectedMachine(offer.type, offer.zone, offer.spot, capacity)
            wanted.merge(offer, 1, Int::plus)
            fleet.add(machine)
            remaining -= machine.allocate(tasks.job, remaining)
            if (wanted.getValue(offer) >= MAX_MACHINES_PER_REQUEST) return
        }
    }

    private fun bootingMachines(): MutableList<ExpectedMachine> =
        table.all
            .filter { it.state == Machine.State.BOOTING && it.isTypeKnown && !it.cloud.failed && !isOverdue(it) }
            .map {
                ExpectedMachine(
                    it.type,
                    it.zone,
                    it.spot,
                    table.types.getOrNull(it.type)?.capacity ?: Machine.NO_RESOURCES,
                )
            }.toMutableList()

    /** Whether a machine has booted for twice its type's boot time, so that it may never come up. */
    private fun isOverdue(machine: Machine): Boolean =
        context.steady - machine.cloud.createdAtMs > table.bootS(machine) * 2 * MS_PER_S

    /** Allocates capacity of [machines] to [tasks]; returns how many tasks are left. */
    private fun countUnplaced(tasks: UnplacedTasks, machines: List<ExpectedMachine>): Int {
        var remaining = tasks.count
        for (machine in machines) {
            if (remaining == 0) break
            val isUsable =
                tasks.admits(machine.zone) && table.allows(tasks.job, machine.type, machine.zone, machine.spot)
            if (isUsable) remaining -= machine.allocate(tasks.job, remaining)
        }
        return remaining
    }

    private class PricedOffer(val offer: Offer, val price: Double)

    /** The eligible offer with the lowest price per task of [tasks]; null if there is none. */
    private fun cheapestOffer(tasks: UnplacedTasks, machinesByZone: Map<Int, Int>): Offer? {
        var best: PricedOffer? = null
        for ((index, type) in table.types.withIndex()) {
            if (type == null || !tasks.job.fitsType(index, type)) continue
            for (zoneName in type.zones) {
                val zone = names.zones.intern(zoneName)
                if (zone in unreachableZones || !tasks.admits(zone)) continue
                best = cheaperOf(best, tasks, index, type, zone, machinesByZone[zone] ?: 0)
            }
        }
        return best?.offer
    }

    /** The cheaper of [best] and the offers of [type] in [zone], which has [machinesInZone] already. */
    private fun cheaperOf(
        best: PricedOffer?,
        tasks: UnplacedTasks,
        index: Int,
        type: MachineType,
        zone: Int,
        machinesInZone: Int,
    ): PricedOffer? {
        val tasksPerMachine = tasks.job.taskResources.countIn(type.capacity)
        if (tasksPerMachine <= 0) return best
        var better = best
        for (spot in SPOT_FIRST) {
            val offer = Offer(index, zone, spot)
            if (!isEligible(tasks, offer, type)) continue
            // At equal prices the zone with fewer machines is chosen, so that no zone holds them all.
            val price = table.priceOf(index, spot) / tasksPerMachine * (1 + machinesInZone * ZONE_TIE_FRACTION)
            if (better == null || price < better.price) better = PricedOffer(offer, price)
        }
        return better
    }

    private fun isEligible(tasks: UnplacedTasks, offer: Offer, type: MachineType): Boolean {
        if (!table.allows(tasks.job, offer.type, offer.zone, offer.spot)) return false
        if (backoff.isBackedOff(offer, context.steady)) return false
        // Tasks that may run on spot machines wait for those if they are cheaper, unless they would be late.
        val spotIsCheaper = tasks.job.spec.spotAllowed && type.spotPrice < type.price
        return offer.spot || tasks.mayRentOnDemand || !spotIsCheaper
    }

    private companion object {
        val SPOT_FIRST = booleanArrayOf(true, false)
        const val FRAGMENTATION_FACTOR = 1.5
        const val MAX_MACHINES_PER_REQUEST = 50

        /** Less than the relative difference between any two prices. */
        const val ZONE_TIE_FRACTION = 1e-4
    }
}
