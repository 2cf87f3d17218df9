package org.chalkhollow.core

import org.chalkhollow.model.MachineType
import org.chalkhollow.model.Resources
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.PlatformSettings
import org.chalkhollow.wire.ListedMachine
import org.chalkhollow.wire.WorkerReport

/** Owns the machines: what is up, what to rent, what to return, what to drain. */
class Fleet(
    private val context: CoreContext,
    private val names: Names,
    private val settings: PlatformSettings,
    private val options: OperatorSettings,
    private val label: String,
    private val preProvisioned: PreProvisionedMachines,
) {
    private val byName = HashMap<String, Machine>()
    private val gone = HashSet<String>()

    /** Machine types by index; a type that the catalog does not list is null. */
    val types = ArrayList<MachineType?>()
    val machines: Collection<Machine> get() = byName.values
    var catalogKnown = false
        private set

    /** Set by the controller: everything on the machine is certainly gone. */
    var onGone: (Machine) -> Unit = {}

    /** Set by the controller: the machine is in a new session; whether it had told our token in the one before. */
    var onNewSession: (Machine, Boolean) -> Unit = { _, _ -> }

    private val leaseMs = (settings.leaseS * 1000).toLong()

    /** A machine that reports but hears nothing for this long is returned: it can run nothing, and costs. */
    private val unreachableMs = maxOf(leaseMs * 3, 30_000L)

    /**
     * All teams together may use this much, and half again for the room that tasks leave over; what is beyond it would
     * idle.
     */
    private val mostCpus = settings.teams.sumOf { it.cpusMax } * 1.5
    private val mostMachines = if (options.maxMachines == 0) Int.MAX_VALUE else options.maxMachines
    private val reachability = MachineReachability(context, settings.reportS, settings.leaseS)
    private var generation = 0L
    private var takenOverAt = 0L
    private var requests = 0L
    private var tokens = 1.0
    private var refilledAt = 0L
    private var catalogAt = Machine.NEVER
    private var catalogBusy = false
    private var listAt = Machine.NEVER
    private var listBusy = false
    private var listed = HashSet<String>()
    private var changeBusy = false
    private var pendingRent: CloudOp.Rent? = null
    private var retryRentAt = 0L

    /**
     * A rental was answered, and there may be more to rent: much is asked for at once at a start and after mass
     * failures.
     */
    var moreNow = false
        private set
    private val refusedUntil = HashMap<Offer, Long>()
    private val backoff = HashMap<Offer, Long>()

    /** What can be rented: a type in a zone, spot or ordinary. */
    data class Offer(val type: Int, val zone: Int, val spot: Boolean)

    fun start(newGeneration: Long) {
        byName.clear()
        gone.clear()
        generation = newGeneration
        takenOverAt = context.steady
        requests = 0
        pendingRent = null
        changeBusy = false
        listBusy = false
        listAt = Machine.NEVER
        refusedUntil.clear()
        backoff.clear()
    }

    fun known(name: String): Machine =
        byName.getOrPut(name) {
            Machine(names.machines.intern(name), name).also {
                it.bornAt = context.steady
                it.answeredAt = takenOverAt // an earlier leader may have answered it until we took over
            }
        }

    fun find(name: String): Machine? = byName[name]

    /** CPUs of the machines that are up or on their way. */
    fun cpus(): Double =
        byName.values.sumOf {
            if (it.state == Machine.State.UP ||
                it.state == Machine.State.BOOTING
            ) {
                size(it)
            } else {
                0.0
            }
        }

    /** CPUs of those of one type; all if [type] is negative. */
    fun cpus(type: Int): Double =
        if (type < 0) {
            cpus()
        } else {
            byName.values.sumOf {
                if (it.type == type &&
                    (it.state == Machine.State.UP || it.state == Machine.State.BOOTING)
                ) {
                    size(it)
                } else {
                    0.0
                }
            }
        }

    /** How soon a machine can be there at the best; half a minute while the catalog is not known. */
    fun leastBootMs(): Long = leastBootMs

    private var leastBootMs = 30_000L

    fun size(m: Machine): Double = types.getOrNull(m.type)?.room?.cpus ?: 0.0

    /**
     * Takes in who reports; null for a machine that is gone or a session that is over. A report that is not newer than
     * what is known, such as a copy that was held up on its way, changes nothing.
     */
    fun observe(report: WorkerReport): Machine? {
        if (report.machine in gone) return null
        val m = known(report.machine)
        if (report.session <= m.lapsedSession || report.session < m.session ||
            m.state == Machine.State.DELETING
        ) {
            return null
        }
        if (report.session == m.session && report.seq <= m.beatSeq) return m
        m.type = names.types.intern(report.type)
        m.zone = names.zones.intern(report.zone)
        m.spot = report.spot
        m.address = report.address
        val freshSession = report.session > m.session
        if (freshSession) {
            if (m.session > 0) onNewSession(m, m.token >= generation)
            m.session = report.session
            m.shunned = false
            m.seq = -1
            m.beatSeq = -1
            m.reconciled = null
            m.images.clear()
            m.images.addAll(m.held) // its cache outlives the session; what it was fetching does not
        }
        reachability.reported(
            m,
            freshSession,
            tellsToken = m.token < generation && report.token >= generation,
            atToken =
                report.token >= generation,
        )
        if (m.state != Machine.State.UP || m.token < generation && report.token >= generation) context.changed()
        m.state = Machine.State.UP
        m.reportedAt = context.steady
        m.token = maxOf(m.token, report.token)
        val notice = report.noticeS
        if (notice != null && m.noticeAt == Machine.NEVER) context.changed()
        m.noticeAt = if (notice == null) Machine.NEVER else context.steady + (notice * 1000).toLong()
        if (notice != null) windDown(m)
        return m
    }

    /** It carried out what we sent it directly: our commands reach it. */
    fun reached(m: Machine) = reachability.proved(m)

    /** Whether it is not certain that [m] hears us, so that it is to be asked directly; true once in a while. */
    fun toBeAsked(m: Machine): Boolean =
        m.state == Machine.State.UP && m.token >= generation &&
            context.steady - m.reportedAt < leaseMs && reachability.ask(m)

    /**
     * The cloud will take the machine: what can save its progress does so now, and what will certainly not be over by
     * then begins elsewhere at once, since it would be lost here and known to be lost only when the lease has lapsed.
     */
    private fun windDown(m: Machine) {
        val leftS = (m.noticeAt - context.steady) / 1000.0
        for (a in m.attempts) {
            if (!a.onMachine || a.stopping || a.job.service) continue // replicas are moved by [ReplicaMoves]
            val saves = a.job.spec.checkpointS > 0 && a.phase == Attempt.Phase.RUNNING
            if (saves || !a.inherited && a.leastLeftS(context.steady) > leftS) a.stopping = true
        }
    }

    /** Machines that take new tasks: up, heard from at our token, neither draining nor about to be taken. */
    fun placeable(): List<Machine> =
        byName.values.filter { m ->
            m.state == Machine.State.UP && m.reachable && !m.draining && !m.shunned && m.noticeAt == Machine.NEVER &&
                !m.retiring && context.steady >= m.fullUntil && context.steady - m.reportedAt < leaseMs / 2 &&
                types.getOrNull(m.type) != null
        }

    fun allows(job: OpenJob, type: Int, zone: Int, spot: Boolean): Boolean =
        (job.types == null || type in job.types) && (job.zone < 0 || job.zone == zone) &&
            (!spot || job.spec.spotAllowed)

    /** Ends leases that have certainly lapsed. */
    fun lapse() {
        val t = context.steady
        for (m in byName.values) {
            if (m.state != Machine.State.UP && m.attempts.isEmpty()) continue
            if (t < m.answeredAt + leaseMs + leaseMs / 500 + LAPSE_MARGIN_MS) continue
            if (m.state == Machine.State.LOST || m.state == Machine.State.DELETING) {
                onGone(m) // asked to be deleted with tasks on it, and whether it is gone is not known yet
                continue
            }
            context.info("the lease of ${m.name} has lapsed")
            m.state = Machine.State.LOST
            m.lostAt = t
            m.lapsedSession = maxOf(m.session, m.lapsedSession)
            onGone(m)
        }
    }

    fun tick(leading: Boolean, unplaced: List<Placement.Unplaced>, mayRent: Boolean) {
        refill()
        moreNow = false
        val t = context.steady
        if (!catalogBusy && (catalogAt == Machine.NEVER || leading && t - catalogAt > CATALOG_MS) &&
            spend()
        ) {
            readCatalog()
        }
        if (!leading || !catalogKnown) return
        if (!listBusy && t - listAt > LIST_MS && spend()) readList(null, HashSet())
        retire(unplaced.isNotEmpty())
        if (changeBusy) return
        val rent = pendingRent
        if (rent != null) {
            if (t >= retryRentAt && spend()) send(rent)
            return
        }
        if (returnMachines(unplaced)) return
        if (mayRent) rentFor(unplaced)
    }

    private fun readCatalog() {
        catalogBusy = true
        context.cloud(CloudOp.Catalog) { reply ->
            catalogBusy = false
            if (reply is CloudReply.CatalogIs) {
                catalogAt = context.steady
                catalogKnown = true
                for (type in reply.types) {
                    val index = names.types.intern(type.name)
                    while (types.size <= index) types.add(null)
                    types[index] = type
                }
                reply.types.minOfOrNull { it.bootS }?.let { leastBootMs = (it * 1000).toLong() }
            }
        }
    }

    private fun readList(after: String?, found: HashSet<String>) {
        listBusy = true
        val inGeneration = generation
        context.cloud(CloudOp.Machines(after)) { reply ->
            if (inGeneration != generation) return@cloud
            listBusy = false
            if (reply !is CloudReply.MachinesAre) {
                listAt = context.steady - LIST_MS / 2
                return@cloud
            }
            for (m in reply.page.machines) {
                found.add(m.name)
                onListed(m)
            }
            val last =
                reply.page.machines
                    .lastOrNull()
                    ?.name
            if (reply.page.more && last != null) {
                readList(last, found)
            } else {
                listAt = context.steady
                preProvisioned.onList(found)
                dropUnlisted(found)
            }
        }
    }

    private fun onListed(l: ListedMachine) {
        if (l.name in gone) return
        val m = known(l.name)
        if (m.state == Machine.State.DELETING) return
        m.listedAt = context.steady
        if (m.type < 0) {
            m.type = names.types.intern(l.type)
            m.zone = names.zones.intern(l.zone)
            m.spot = l.spot
            m.bornAt = context.steady - (l.ageS * 1000).toLong()
        }
        if (l.address.isNotEmpty()) m.address = l.address
        m.failed = l.status == ListedMachine.Status.FAILED
        m.listedStarting = l.status == ListedMachine.Status.STARTING
    }

    /** A machine that was listed and no longer is, and does not report, has gone. */
    private fun dropUnlisted(found: Set<String>) {
        val t = context.steady
        val patience = (settings.listLagS * 2000).toLong() + LIST_MS * 2
        for (m in ArrayList(byName.values)) {
            if (m.name in found || m.state == Machine.State.UP || m.state == Machine.State.DELETING) continue
            if (m.state == Machine.State.BOOTING && m.attempts.isNotEmpty()) continue // its lease has to lapse first
            val since = if (m.listedAt != Machine.NEVER) m.listedAt else m.bornAt
            if (t - since > patience) remove(m)
        }
    }

    private fun remove(m: Machine) {
        onGone(m)
        byName.remove(m.name)
        gone.add(m.name)
    }

    /** Deletes what failed, never came up, was lost or idles; true if a request was sent. */
    private fun returnMachines(unplaced: List<Placement.Unplaced>): Boolean {
        val t = context.steady
        val out = silent(t)
        for (m in byName.values) {
            if (m.state == Machine.State.DELETING || m in out) continue
            if (!m.vacant || m.state != Machine.State.UP) {
                m.idleSince = Machine.NEVER
            } else if (m.idleSince == Machine.NEVER) {
                m.idleSince = t
            }
            if (m.failedJobs.size >= SICK_JOBS && !m.draining) {
                m.draining = true
                context.changed()
                context.info("${m.name} fails every task and is set aside")
            }
            if (useless(m, t)) out.add(m)
        }
        // Work that no machine can take waits for ever if idle machines of other kinds fill the room that the cloud
        // gives.
        val stuck = unplaced.any { u -> byName.values.none { couldTake(it, u.job) } }
        if (unplaced.isEmpty() ||
            stuck
        ) {
            out.addAll(idle(t, stuck).filter { m -> unplaced.none { couldTake(m, it.job) } })
        }
        if (out.isEmpty() || !spend()) return false
        delete(out.take(MOST_DELETED))
        return true
    }

    /**
     * Machines that the cloud has taken, or that say nothing and do not answer: a deletion that the cloud confirms
     * proves what was on them gone, long before their leases lapse. Where much of a zone is silent it is the network or
     * ourselves, and everything there may be well; those are left to their leases.
     */
    private fun silent(t: Long): ArrayList<Machine> {
        val out = ArrayList<Machine>()
        val up = HashMap<Int, Int>()
        val overdue = HashMap<Int, Int>()
        val silent = ArrayList<Machine>()
        for (m in byName.values) {
            if (m.state != Machine.State.UP) continue
            up.merge(m.zone, 1, Int::plus)
            if (reachability.overdue(m)) overdue.merge(m.zone, 1, Int::plus)
            if (m.noticeAt != Machine.NEVER && t > m.noticeAt + TAKEN_MS) {
                out.add(m)
            } else if (m.busy && reachability.silent(m)) {
                silent.add(m)
            }
        }
        if (t - takenOverAt < leaseMs) return out
        silent.filterTo(out) { (overdue[it.zone] ?: 0) * SILENT_OF < up.getValue(it.zone) }
        return out
    }

    private var waitedAt = Machine.NEVER
    private var retiredAt = Machine.NEVER

    /** Set by the controller: CPUs that are to stay free for urgent work. */
    var reserve: () -> Double = { 0.0 }

    /**
     * When little is asked for, tasks spread thinly over machines that cost more than their like can be had for. A few
     * at a time those stop taking tasks, run dry and go; as soon as anything waits they are back in use.
     */
    private fun retire(waits: Boolean) {
        val t = context.steady
        if (waits) {
            waitedAt = t
            for (m in byName.values) m.retiring = false
            return
        }
        if (t - waitedAt < CALM_MS || t - retiredAt < RETIRE_EVERY_MS) return
        val dear =
            placeable()
                .filter { m ->
                    val type = types.getOrNull(m.type) ?: return@filter false
                    // A replica never ends, so a machine that has one would never run dry.
                    m.name !in preProvisioned.names && m.attempts.none { it.job.service } &&
                        priceOf(m.type, m.spot) > minOf(type.price, type.spotPrice)
                }.map { it to it.room(types).cpus }
                .sortedByDescending { it.second }
        var free = placeable().sumOf { it.room(types).cpus }
        for ((m, room) in dear.take(maxOf(1, dear.size / RETIRED_OF))) {
            free -= room
            if (free < reserve() * RESERVES_KEPT) return
            m.retiring = true
            retiredAt = t
        }
    }

    private fun useless(m: Machine, t: Long): Boolean {
        val bootMs = (types.getOrNull(m.type)?.bootS ?: 60.0) * 1000
        return when {
            m.failed && m.state != Machine.State.UP -> true
            m.state == Machine.State.LOST -> t - m.lostAt > LOST_MS
            // A new leader has not heard from machines that have long been up: they are given time to find it. An
            // earlier version returned those that a list named before their first report came in.
            m.state == Machine.State.BOOTING ->
                m.attempts.isEmpty() && t - m.bornAt > bootMs * 4 + BOOT_SLACK_MS &&
                    t - takenOverAt > leaseMs * 2
            m.state == Machine.State.UP && m.unreachableSince != Machine.NEVER &&
                t - m.unreachableSince > unreachableMs && t - takenOverAt > unreachableMs -> true
            m.draining -> !m.busy
            m.retiring && m.state == Machine.State.UP -> m.vacant
            m.noticeAt != Machine.NEVER -> m.vacant
            else -> false
        }
    }

    /**
     * Machines that have idled for too long, the dearest first. The operator's own machines stay, and rented ones may
     * idle beside them while they cost less than [OperatorSettings.standbyShare] of what those do.
     */
    private fun idle(t: Long, stuck: Boolean): List<Machine> {
        val idle =
            byName.values.filter {
                it.state == Machine.State.UP && it.idleSince != Machine.NEVER && !it.draining &&
                    it.name !in preProvisioned.names
            }
        val long = idle.filter { t - it.idleSince > idleAllowedMs(it) }.sortedByDescending { priceOf(it.type, it.spot) }
        var standby =
            if (stuck) {
                0.0
            } else {
                options.standbyShare *
                    byName.values.filter { it.name in preProvisioned.names }.sumOf { priceOf(it.type, it.spot) }
            }
        val out = ArrayList<Machine>()
        for (m in long.reversed()) {
            standby -= priceOf(m.type, m.spot)
            if (standby < 0) out.add(m)
        }
        return out.take(maxOf(0, idle.size - options.spareMachines))
    }

    private fun couldTake(m: Machine, job: OpenJob): Boolean {
        val type = types.getOrNull(m.type) ?: return false
        return allows(job, m.type, m.zone, m.spot) && Placement.fitsType(job, m.type, type) &&
            !job.avoids(m.id, context.steady)
    }

    /** The dearer a machine is, compared with the cheapest way to have its like, the sooner it goes. */
    private fun idleAllowedMs(m: Machine): Double {
        val type = types.getOrNull(m.type) ?: return options.idleReturnS * 1000
        val cheapest = minOf(type.price, type.spotPrice)
        val price = priceOf(m.type, m.spot)
        return options.idleReturnS * 1000 * (if (price > 0) minOf(1.0, cheapest / price) else 1.0)
    }

    private fun delete(list: List<Machine>) {
        changeBusy = true
        for (m in list) m.state = Machine.State.DELETING
        val inGeneration = generation
        context.info("returning ${list.joinToString(" ") { it.name }}")
        context.cloud(CloudOp.Delete(list.map { it.name })) { reply ->
            if (inGeneration != generation) return@cloud
            changeBusy = false
            if (reply is CloudReply.Deleted) {
                list.forEach(::remove)
                return@cloud
            }
            // Without a 200 they may or may not be gone: they stay out of use and are asked for again.
            for (m in list) {
                m.state = Machine.State.LOST
                m.lapsedSession = maxOf(m.session, m.lapsedSession)
                m.lostAt = context.steady - LOST_MS
            }
        }
    }

    private fun priceOf(type: Int, spot: Boolean): Double =
        types.getOrNull(type)?.let { if (spot) it.spotPrice else it.price } ?: 0.0

    /**
     * Rents for the most urgent class of tasks that neither the machines that are up nor those booting have room for.
     */
    private fun rentFor(unplaced: List<Placement.Unplaced>) {
        if (unplaced.isEmpty()) return
        val t = context.steady
        val coming =
            byName.values.filter {
                it.state == Machine.State.BOOTING && it.type >= 0 && !it.failed &&
                    !overdue(it, t)
            }
        val rooms =
            coming
                .map { Virtual(it.type, it.zone, it.spot, types.getOrNull(it.type)?.room ?: Machine.NOTHING) }
                .toMutableList()
        val wanted = LinkedHashMap<Offer, Int>()
        val inZone = HashMap<Int, Int>()
        for (m in byName.values) inZone.merge(m.zone, 1, Int::plus)
        findUnreached()
        var cpus = cpus()
        var total = byName.size
        for (u in unplaced) {
            var left = fill(u, rooms)
            while (left > 0 && total < mostMachines && cpus < mostCpus) {
                val offer = cheapest(u, t, inZone) ?: break
                val room = Virtual(offer.type, offer.zone, offer.spot, types[offer.type]?.room ?: break)
                wanted.merge(offer, 1, Int::plus)
                inZone.merge(offer.zone, 1, Int::plus)
                total++
                cpus += room.room.cpus
                rooms.add(room)
                left -= room.take(u.job, left)
                if (wanted.getValue(offer) >= MOST_RENTED) break
            }
        }
        val (offer, count) = wanted.entries.firstOrNull() ?: return
        if (!spend()) return
        requests++
        // The generation is in the name, and the label for good measure: no request name comes twice.
        val name = "$label-$generation-$requests"
        val rent =
            CloudOp.Rent(
                name,
                names.types.name(offer.type),
                names.zones.name(offer.zone),
                offer.spot,
                minOf(count, MOST_RENTED),
            )
        pendingRent = rent
        send(rent)
    }

    private class Virtual(val type: Int, val zone: Int, val spot: Boolean, var room: Resources) {
        fun take(job: OpenJob, most: Int): Int {
            val n = minOf(most, job.each.countIn(room))
            if (n >
                0
            ) {
                room =
                    Resources(
                        room.cpus - n * job.each.cpus,
                        room.cards - n * job.each.cards,
                        room.memoryGb - n * job.each.memoryGb,
                    )
            }
            return n
        }
    }

    private fun fill(u: Placement.Unplaced, rooms: List<Virtual>): Int {
        var left = u.count
        for (v in rooms) {
            if (left == 0) break
            if (u.admits(v.zone) && allows(u.job, v.type, v.zone, v.spot)) left -= v.take(u.job, left)
        }
        return left
    }

    private fun overdue(m: Machine, t: Long): Boolean = t - m.bornAt > (types.getOrNull(m.type)?.bootS ?: 60.0) * 2000

    /** Zones most of whose machines say nothing: what is rented there could not report either. */
    private val unreached = HashSet<Int>()

    private fun findUnreached() {
        unreached.clear()
        val all = HashMap<Int, Int>()
        val quiet = HashMap<Int, Int>()
        for (m in byName.values) {
            if (m.state != Machine.State.UP && m.state != Machine.State.LOST) continue
            all.merge(m.zone, 1, Int::plus)
            if (m.state == Machine.State.LOST || reachability.overdue(m)) quiet.merge(m.zone, 1, Int::plus)
        }
        if (context.steady - takenOverAt < leaseMs) return // not heard from yet is not silent
        for ((zone, n) in quiet) if (n >= UNREACHED_LEAST && n * 3 > all.getValue(zone) * 2) unreached.add(zone)
    }

    /** The offer with the lowest price for one task of [job], among those not refused lately. */
    private fun cheapest(u: Placement.Unplaced, t: Long, inZone: Map<Int, Int>): Offer? {
        val job = u.job
        var best: Offer? = null
        var bestPrice = Double.MAX_VALUE
        for ((index, type) in types.withIndex()) {
            if (type == null || !Placement.fitsType(job, index, type)) continue
            val each = job.each.countIn(type.room)
            if (each <= 0) continue
            for (zoneName in type.zones) {
                val zone = names.zones.intern(zoneName)
                if (zone in unreached || !u.admits(zone)) continue
                for (spot in SPOT_FIRST) {
                    val offer = Offer(index, zone, spot)
                    if (!allows(job, index, zone, spot) || t < (refusedUntil[offer] ?: 0)) continue
                    // What spot machines may run can wait for them, unless it would be late.
                    if (!spot && job.spec.spotAllowed && !u.pressing && type.spotPrice < type.price) continue
                    // Ties between zones go to the one with fewer machines, so that no zone holds them all.
                    val price = priceOf(index, spot) / each * (1 + (inZone[zone] ?: 0) * 1e-4)
                    if (price < bestPrice) {
                        best = offer
                        bestPrice = price
                    }
                }
            }
        }
        return best
    }

    private fun send(rent: CloudOp.Rent) {
        changeBusy = true
        val inGeneration = generation
        val offer = Offer(names.types.intern(rent.type), names.zones.intern(rent.zone), rent.spot)
        context.cloud(rent) { reply ->
            if (inGeneration != generation) return@cloud
            changeBusy = false
            when (reply) {
                is CloudReply.Rented -> {
                    pendingRent = null
                    rented(rent, offer, reply.names)
                    moreNow = true
                }
                CloudReply.NoCapacity -> {
                    pendingRent = null
                    refuse(offer)
                    moreNow = true
                }
                is CloudReply.Rejected -> {
                    context.warn("the cloud rejects a rental: ${reply.why}")
                    pendingRent = null
                    refuse(offer)
                }
                // Unknown or not executed: the same name again, which rents at most once.
                else -> retryRentAt = context.steady + RENT_RETRY_MS
            }
        }
    }

    private fun rented(rent: CloudOp.Rent, offer: Offer, list: List<String>) {
        context.info(
            "rented ${list.size} of ${rent.count} ${rent.type} in ${rent.zone}${if (rent.spot) " (spot)" else ""}",
        )
        for (name in list) {
            if (name in gone) continue
            val m = known(name)
            if (m.type < 0) {
                m.type = offer.type
                m.zone = offer.zone
                m.spot = offer.spot
                m.bornAt = context.steady
            }
        }
        if (list.size < rent.count) refuse(offer) else backoff.remove(offer)
    }

    private fun refuse(offer: Offer) {
        val wait = minOf(MOST_BACKOFF_MS, (backoff[offer] ?: FIRST_BACKOFF_MS))
        refusedUntil[offer] = context.steady + wait
        backoff[offer] = wait * 3 / 2
    }

    /** Whether every machine that the cloud lists as up has reported; never before a list was read. */
    fun heardFromListed(): Boolean =
        listAt != Machine.NEVER &&
            byName.values.none { m ->
                m.listedAt != Machine.NEVER && !m.listedStarting && !m.failed && m.state == Machine.State.BOOTING
            }

    private fun refill() {
        val most = settings.cloudRps
        tokens = minOf(most, tokens + (context.steady - refilledAt) * settings.cloudRps * 0.8 / 1000.0)
        refilledAt = context.steady
    }

    private fun spend(): Boolean {
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }

    private companion object {
        val SPOT_FIRST = booleanArrayOf(true, false)
        const val LAPSE_MARGIN_MS = 500L
        const val CATALOG_MS = 60_000L
        const val LIST_MS = 4000L
        const val LOST_MS = 45_000L
        const val BOOT_SLACK_MS = 10_000L
        const val SICK_JOBS = 2

        /** This long after the announced moment a machine is taken for taken. */
        const val TAKEN_MS = 1000L

        /** Silence of less than one in this many of a zone's machines is their own. */
        const val SILENT_OF = 3
        const val UNREACHED_LEAST = 4
        const val CALM_MS = 3000L
        const val RETIRE_EVERY_MS = 1500L
        const val RETIRED_OF = 15
        const val RESERVES_KEPT = 2.0
        const val MOST_DELETED = 100
        const val MOST_RENTED = 50
        const val RENT_RETRY_MS = 700L
        const val FIRST_BACKOFF_MS = 5000L
        const val MOST_BACKOFF_MS = 20_000L
    }
}
