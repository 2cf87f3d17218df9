package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CloudOp
import org.chalkhollow.core.common.CloudReply
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.core.common.leaseMs
import org.chalkhollow.model.MachineType
import org.chalkhollow.model.Resources
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.PlatformSettings

/** What can be rented: a type in a zone, spot or ordinary. */
data class Offer(val type: Int, val zone: Int, val spot: Boolean)

/**
 * Owns what is rented: for tasks that neither the machines that are up nor those that boot have room for, the cheapest
 * offer that is not refused now. At most one rental is without an answer, and it is asked for again under its name
 * until the answer is known, so that the cloud carries it out at most once. Called by [Fleet].
 */
class ScaleOut(
    private val context: CoreContext,
    private val names: Interners,
    private val table: MachineTable,
    private val cloud: CloudRequests,
    private val reachability: MachineReachability,
    settings: PlatformSettings,
    options: OperatorSettings,
    private val label: String,
) {
    /**
     * All teams together may use this much, and half again for the room that tasks leave over; what is beyond it would
     * idle.
     */
    private val mostCpus = settings.teams.sumOf { it.cpusMax } * ROOM_LEFT_OVER
    private val mostMachines = if (options.maxMachines == 0) Int.MAX_VALUE else options.maxMachines
    private val leaseMs = settings.leaseMs
    private var requests = 0L
    private var pending: CloudOp.Rent? = null
    private var retryAt = 0L
    private val refusedUntil = HashMap<Offer, Long>()
    private val backoff = HashMap<Offer, Long>()

    /** Zones most of whose machines say nothing: what is rented there could not report either. */
    private val unreached = HashSet<Int>()

    /**
     * A rental was answered, and there may be more to rent: much is asked for at once at a start and after mass
     * failures.
     */
    var moreNow = false

    fun start() {
        requests = 0
        pending = null
        refusedUntil.clear()
        backoff.clear()
    }

    /** Whether a rental waits for its answer or for being asked again. */
    val isPending: Boolean get() = pending != null

    /** Asks again for what got no answer. */
    fun retry() {
        val rent = pending ?: return
        if (context.steady >= retryAt && cloud.spend()) send(rent)
    }

    /**
     * Rents for the most urgent class of tasks that neither the machines that are up nor those booting have room for.
     */
    fun rentFor(unplaced: List<UnplacedTasks>) {
        if (unplaced.isEmpty()) return
        val (offer, count) = wanted(unplaced).entries.firstOrNull() ?: return
        if (!cloud.spend()) return
        requests++
        val rent =
            CloudOp.Rent(
                // The generation is in the name, and the label for good measure: no request name comes twice.
                "$label-${table.fencingToken}-$requests",
                names.types.name(offer.type),
                names.zones.name(offer.zone),
                offer.spot,
                minOf(count, MAX_RENTED),
            )
        pending = rent
        send(rent)
    }

    /** How many of each offer are wanted for [unplaced], the most urgent first. */
    private fun wanted(unplaced: List<UnplacedTasks>): Map<Offer, Int> {
        val rooms = roomsOnTheirWay()
        val wanted = LinkedHashMap<Offer, Int>()
        val inZone = HashMap<Int, Int>()
        for (m in table.all) inZone.merge(m.zone, 1, Int::plus)
        findUnreached()
        var cpus = table.cpus()
        var total = table.size
        for (u in unplaced) {
            var left = fill(u, rooms)
            while (left > 0 && total < mostMachines && cpus < mostCpus) {
                val offer = cheapest(u, inZone) ?: break
                val room = ExpectedRoom(offer.type, offer.zone, offer.spot, table.types[offer.type]?.room ?: break)
                wanted.merge(offer, 1, Int::plus)
                inZone.merge(offer.zone, 1, Int::plus)
                total++
                cpus += room.room.cpus
                rooms.add(room)
                left -= room.take(u.job, left)
                if (wanted.getValue(offer) >= MAX_RENTED) break
            }
        }
        return wanted
    }

    /** The room of a machine that boots or is to be rented, while it is dealt out to the tasks that wait. */
    private class ExpectedRoom(val type: Int, val zone: Int, val spot: Boolean, var room: Resources) {
        fun take(job: OpenJob, most: Int): Int {
            val n = minOf(most, job.taskResources.countIn(room))
            if (n > 0) room = room.without(job.taskResources, n)
            return n
        }
    }

    private fun roomsOnTheirWay(): MutableList<ExpectedRoom> {
        val t = context.steady
        return table.all
            .filter { it.state == Machine.State.BOOTING && it.isTypeKnown && !it.cloud.failed && !overdue(it, t) }
            .map { ExpectedRoom(it.type, it.zone, it.spot, table.types.getOrNull(it.type)?.room ?: Machine.NOTHING) }
            .toMutableList()
    }

    /** Whether a machine has booted for twice as long as its type takes, so that it may never come up. */
    private fun overdue(m: Machine, t: Long): Boolean = t - m.cloud.createdAt > table.bootS(m) * 2 * MS_PER_S

    /** Deals [rooms] out to [u]; returns how many tasks are left. */
    private fun fill(u: UnplacedTasks, rooms: List<ExpectedRoom>): Int {
        var left = u.count
        for (v in rooms) {
            if (left == 0) break
            if (u.admits(v.zone) && table.allows(u.job, v.type, v.zone, v.spot)) left -= v.take(u.job, left)
        }
        return left
    }

    private fun findUnreached() {
        unreached.clear()
        val all = HashMap<Int, Int>()
        val quiet = HashMap<Int, Int>()
        for (m in table.all) {
            if (m.state != Machine.State.UP && m.state != Machine.State.LOST) continue
            all.merge(m.zone, 1, Int::plus)
            if (m.state == Machine.State.LOST || reachability.overdue(m)) quiet.merge(m.zone, 1, Int::plus)
        }
        if (context.steady - table.takenOverAt < leaseMs) return // not heard from yet is not silent
        for ((zone, n) in quiet) {
            if (n >= UNREACHED_LEAST && n * UNREACHED_OF > all.getValue(zone) * UNREACHED_PARTS) unreached.add(zone)
        }
    }

    private class PricedOffer(val offer: Offer, val price: Double)

    /** The offer with the lowest price for one task of [u], among those not refused lately. */
    private fun cheapest(u: UnplacedTasks, inZone: Map<Int, Int>): Offer? {
        var best: PricedOffer? = null
        for ((index, type) in table.types.withIndex()) {
            if (type == null || !u.job.fitsType(index, type)) continue
            for (zoneName in type.zones) {
                val zone = names.zones.intern(zoneName)
                if (zone in unreached || !u.admits(zone)) continue
                best = cheaper(best, u, index, type, zone, inZone[zone] ?: 0)
            }
        }
        return best?.offer
    }

    /** The better of [best] and what [type] costs in [zone], where there are [inZone] machines already. */
    private fun cheaper(
        best: PricedOffer?,
        u: UnplacedTasks,
        index: Int,
        type: MachineType,
        zone: Int,
        inZone: Int,
    ): PricedOffer? {
        val taskResources = u.job.taskResources.countIn(type.room)
        if (taskResources <= 0) return best
        var better = best
        for (spot in SPOT_FIRST) {
            val offer = Offer(index, zone, spot)
            if (!mayRent(u, offer, type)) continue
            // Ties between zones go to the one with fewer machines, so that no zone holds them all.
            val price = table.priceOf(index, spot) / taskResources * (1 + inZone * ZONE_TIE)
            if (better == null || price < better.price) better = PricedOffer(offer, price)
        }
        return better
    }

    private fun mayRent(u: UnplacedTasks, offer: Offer, type: MachineType): Boolean {
        if (!table.allows(u.job, offer.type, offer.zone, offer.spot)) return false
        if (context.steady < (refusedUntil[offer] ?: 0)) return false
        // What spot machines may run can wait for them, unless it would be late.
        val spotIsCheaper = u.job.spec.spotAllowed && type.spotPrice < type.price
        return offer.spot || u.pressing || !spotIsCheaper
    }

    private fun send(rent: CloudOp.Rent) {
        val offer = Offer(names.types.intern(rent.type), names.zones.intern(rent.zone), rent.spot)
        cloud.change(rent) { reply ->
            when (reply) {
                is CloudReply.Rented -> {
                    pending = null
                    rented(rent, offer, reply.names)
                    moreNow = true
                }
                CloudReply.NoCapacity -> {
                    pending = null
                    refuse(offer)
                    moreNow = true
                }
                is CloudReply.Rejected -> {
                    context.warn("the cloud rejects a rental: ${reply.why}")
                    pending = null
                    refuse(offer)
                }
                // Unknown or not executed: the same name again, which rents at most once.
                else -> retryAt = context.steady + RETRY_MS
            }
        }
    }

    private fun rented(rent: CloudOp.Rent, offer: Offer, list: List<String>) {
        context.info(
            "rented ${list.size} of ${rent.count} ${rent.type} in ${rent.zone}${if (rent.spot) " (spot)" else ""}",
        )
        for (name in list) {
            if (table.isGone(name)) continue
            val m = table.known(name)
            if (!m.isTypeKnown) {
                m.describe(offer.type, offer.zone, offer.spot)
                m.cloud.recordCreated(context.steady)
            }
        }
        if (list.size < rent.count) refuse(offer) else backoff.remove(offer)
    }

    /** The offer is not asked for again for a while, and for longer each time. */
    private fun refuse(offer: Offer) {
        val wait = minOf(MAX_BACKOFF_MS, (backoff[offer] ?: FIRST_BACKOFF_MS))
        refusedUntil[offer] = context.steady + wait
        backoff[offer] = wait + wait / 2
    }

    private companion object {
        val SPOT_FIRST = booleanArrayOf(true, false)
        const val ROOM_LEFT_OVER = 1.5
        const val MAX_RENTED = 50
        const val RETRY_MS = 700L
        const val FIRST_BACKOFF_MS = 5000L
        const val MAX_BACKOFF_MS = 20_000L

        /** Less than any two prices differ by. */
        const val ZONE_TIE = 1e-4

        /** A zone is out of reach when more than two thirds, and at least four, of its machines are silent. */
        const val UNREACHED_LEAST = 4
        const val UNREACHED_OF = 3
        const val UNREACHED_PARTS = 2
    }
}
