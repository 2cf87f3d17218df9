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
 * Chooses what to rent for tasks that neither the machines that are up nor those that boot have room for: for each the
 * cheapest offer that is not refused now, within the bounds on the fleet's size. Sends nothing; called by [ScaleOut].
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
     * All teams together may use this much, and half again for the room that tasks leave over; what is beyond it would
     * idle.
     */
    private val maxCpus = settings.teams.sumOf { it.cpusMax } * ROOM_LEFT_OVER
    private val maxMachines = if (options.maxMachines == 0) Int.MAX_VALUE else options.maxMachines
    private val unreachedZones = UnreachedZones(context, table, reachability, settings.leaseMs)

    /** The fleet as it would be with what has been chosen so far. */
    private inner class ExpectedFleet {
        val rooms = roomsOfBooting()
        val machinesByZone = HashMap<Int, Int>()
        private var machines = table.size
        private var cpus = table.cpus()

        val isFull: Boolean get() = machines >= maxMachines || cpus >= maxCpus

        init {
            for (machine in table.all) machinesByZone.merge(machine.zone, 1, Int::plus)
        }

        fun add(room: ExpectedRoom) {
            rooms.add(room)
            machinesByZone.merge(room.zone, 1, Int::plus)
            machines++
            cpus += room.room.cpus
        }
    }

    /** The room of a machine that boots or is to be rented, while it is dealt out to the tasks that wait. */
    private class ExpectedRoom(val type: Int, val zone: Int, val spot: Boolean, var room: Resources) {
        /** Deals room to as many of [count] tasks as fit; returns how many. */
        fun deal(job: OpenJob, count: Int): Int {
            val fitting = minOf(count, job.taskResources.countIn(room))
            if (fitting > 0) room = room.without(job.taskResources, fitting)
            return fitting
        }
    }

    /** What is wanted for the most urgent of [unplaced] that need machines to be rented; null if none do. */
    fun select(unplaced: List<UnplacedTasks>): WantedMachines? {
        unreachedZones.update()
        val fleet = ExpectedFleet()
        val wanted = LinkedHashMap<Offer, Int>()
        for (tasks in unplaced) addOffers(tasks, fleet, wanted)
        val (offer, count) = wanted.entries.firstOrNull() ?: return null
        return WantedMachines(offer, minOf(count, MAX_COUNT))
    }

    /** Adds to [wanted] what [tasks] need beyond the rooms of [fleet]. */
    private fun addOffers(tasks: UnplacedTasks, fleet: ExpectedFleet, wanted: MutableMap<Offer, Int>) {
        var left = countWithoutRoom(tasks, fleet.rooms)
        while (left > 0 && !fleet.isFull) {
            val offer = cheapest(tasks, fleet.machinesByZone) ?: return
            val capacity = table.types[offer.type]?.room ?: return
            val room = ExpectedRoom(offer.type, offer.zone, offer.spot, capacity)
            wanted.merge(offer, 1, Int::plus)
            fleet.add(room)
            left -= room.deal(tasks.job, left)
            if (wanted.getValue(offer) >= MAX_COUNT) return
        }
    }

    private fun roomsOfBooting(): MutableList<ExpectedRoom> =
        table.all
            .filter { it.state == Machine.State.BOOTING && it.isTypeKnown && !it.cloud.failed && !isOverdue(it) }
            .map {
                ExpectedRoom(it.type, it.zone, it.spot, table.types.getOrNull(it.type)?.room ?: Machine.NO_RESOURCES)
            }.toMutableList()

    /** Whether a machine has booted for twice as long as its type takes, so that it may never come up. */
    private fun isOverdue(machine: Machine): Boolean =
        context.steady - machine.cloud.createdAtMs > table.bootS(machine) * 2 * MS_PER_S

    /** Deals [rooms] out to [tasks]; returns how many tasks are left. */
    private fun countWithoutRoom(tasks: UnplacedTasks, rooms: List<ExpectedRoom>): Int {
        var left = tasks.count
        for (room in rooms) {
            if (left == 0) break
            val usable = tasks.admits(room.zone) && table.allows(tasks.job, room.type, room.zone, room.spot)
            if (usable) left -= room.deal(tasks.job, left)
        }
        return left
    }

    private class PricedOffer(val offer: Offer, val price: Double)

    /** The offer with the lowest price for one of [tasks], among those not refused lately. */
    private fun cheapest(tasks: UnplacedTasks, machinesByZone: Map<Int, Int>): Offer? {
        var best: PricedOffer? = null
        for ((index, type) in table.types.withIndex()) {
            if (type == null || !tasks.job.fitsType(index, type)) continue
            for (zoneName in type.zones) {
                val zone = names.zones.intern(zoneName)
                if (zone in unreachedZones || !tasks.admits(zone)) continue
                best = cheaper(best, tasks, index, type, zone, machinesByZone[zone] ?: 0)
            }
        }
        return best?.offer
    }

    /** The better of [best] and what [type] costs in [zone], which has [machinesThere] already. */
    private fun cheaper(
        best: PricedOffer?,
        tasks: UnplacedTasks,
        index: Int,
        type: MachineType,
        zone: Int,
        machinesThere: Int,
    ): PricedOffer? {
        val tasksPerMachine = tasks.job.taskResources.countIn(type.room)
        if (tasksPerMachine <= 0) return best
        var better = best
        for (spot in SPOT_FIRST) {
            val offer = Offer(index, zone, spot)
            if (!isEligible(tasks, offer, type)) continue
            // Ties between zones go to the one with fewer machines, so that no zone holds them all.
            val price = table.priceOf(index, spot) / tasksPerMachine * (1 + machinesThere * ZONE_TIE)
            if (better == null || price < better.price) better = PricedOffer(offer, price)
        }
        return better
    }

    private fun isEligible(tasks: UnplacedTasks, offer: Offer, type: MachineType): Boolean {
        if (!table.allows(tasks.job, offer.type, offer.zone, offer.spot)) return false
        if (backoff.isRefused(offer, context.steady)) return false
        // What spot machines may run can wait for them, unless it would be late.
        val spotIsCheaper = tasks.job.spec.spotAllowed && type.spotPrice < type.price
        return offer.spot || tasks.pressing || !spotIsCheaper
    }

    private companion object {
        val SPOT_FIRST = booleanArrayOf(true, false)
        const val ROOM_LEFT_OVER = 1.5

        /** Machines of one request. */
        const val MAX_COUNT = 50

        /** Less than any two prices differ by. */
        const val ZONE_TIE = 1e-4
    }
}
