package org.chalkhollow.core

import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap
import org.chalkhollow.model.MachineType
import org.chalkhollow.model.Priority
import org.chalkhollow.model.Resources
import org.chalkhollow.model.Shape
import org.chalkhollow.settings.OperatorSettings
import java.util.PriorityQueue

/**
 * Owns which ready tasks go where. A job's tasks are alike, so they are decided as a class: one pass over the machines
 * that fit gives each as many as it has room for, best fit first among a sample, all machines if the sample has no
 * room.
 */
class Placement(
    private val context: CoreContext,
    private val jobs: JobTable,
    private val quotas: Quotas,
    private val settlement: Settlement,
    private val fleet: Fleet,
    private val options: OperatorSettings,
    private val objectives: ServiceLevelObjectives,
) {
    /**
     * A class of tasks that found no room, for the fleet to rent by; [pressing] if it would be late without dear
     * machines. Only zones that [zones] admit are of use to it now.
     */
    class Unplaced(val job: OpenJob, val count: Int, val pressing: Boolean, val zones: ZoneRule? = null) {
        fun admits(zone: Int): Boolean = zones == null || zones.admits(zone)
    }

    var unplaced: List<Unplaced> = emptyList()
        private set
    private val replicas = Replicas(jobs, fleet)
    private val moves = ReplicaMoves(context, fleet, quotas, replicas, ::mayUse)

    /** Jobs with ready tasks, most urgent first. */
    fun order(): List<OpenJob> {
        val waiting = jobs.open.filter { it.placeable && !it.cancelling && it.notBefore <= context.steady }
        return waiting.sortedWith(
            compareBy(
                { if (goesFirst(it)) -1 else it.spec.priority.ordinal },
                { if (goesFirst(it)) 0 else standing(it) },
                { if (goesFirst(it)) kindPlacedWall[Kind(it)] ?: 0L else due(it) },
                { if (goesFirst(it)) it.owedSinceWall else it.acceptedWall },
                { it.entry.id },
            ),
        )
    }

    /** CPUs by machine type in this round; all under -1. */
    private val pools = HashMap<Int, Double>()

    private fun poolCpus(type: Int): Double = pools.getOrPut(type) { fleet.cpus(type) }

    /**
     * What may still be given to jobs that are owed something; they share [OperatorSettings.patienceShare] of the
     * machines.
     */
    private var owedLeft = 0.0

    /** Jobs that users would compare: of one class and team, and of about one size. */
    private data class Kind(val workload: String, val team: Int, val size: Int) {
        constructor(job: OpenJob) : this(job.spec.workload, job.team, Integer.numberOfLeadingZeros(job.spec.tasks))
    }

    /**
     * When a task of a kind was last placed: what a flood of one kind leaves over is shared among kinds, not among its
     * jobs.
     */
    private val kindPlacedWall = HashMap<Kind, Long>()

    /** When one was last placed in the common order, without being owed it. */
    private val kindServedWall = HashMap<Kind, Long>()

    private fun due(job: OpenJob): Long =
        objectives.dueWall(job, context.now.wall, (job.spec.expectedS * SURE_FACTOR * 1000).toLong())

    private fun goesFirst(job: OpenJob): Boolean = job.owedCpus > 0 && owedLeft > 0

    /**
     * Nothing is put off for ever, neither by priority nor for being late or wide: what has been passed over for longer
     * than [OperatorSettings.patienceS] goes before the rest, the kind that was served longest ago first, until it has
     * been given something.
     */
    private fun noteOwed(capacity: Double) {
        val patienceMs = (options.patienceS * 1000).toLong()
        val share = options.patienceShare * capacity
        for (job in jobs.open) {
            if (!job.placeable || job.owedCpus > 0 || context.now.wall - job.placedWall < patienceMs) continue
            if (context.now.wall - (kindServedWall[Kind(job)] ?: 0L) < patienceMs) continue // its like get their turn
            job.owedCpus = share
            job.owedSinceWall = job.placedWall + patienceMs
        }
        owedLeft = share - settlement.owedCpus
    }

    /** Jobs that fit into their team's guarantee together with the team's earlier unfinished ones. */
    private val guaranteed = HashSet<OpenJob>()

    fun withinGuarantee(job: OpenJob): Boolean = job in guaranteed

    private fun findGuaranteed() {
        guaranteed.clear()
        val cpus = HashMap<Int, Double>()
        val cards = HashMap<Int, Double>()
        for (job in jobs.open.sortedBy { it.acceptedWall }) {
            if (job.cancelling || job.complete) continue
            val c = cpus.merge(job.team, job.each.cpus * job.spec.tasks, Double::plus) ?: 0.0
            val g = cards.merge(job.team, job.each.cards * job.spec.tasks, Double::plus) ?: 0.0
            if (quotas.guarantees(job.team, c, g)) guaranteed.add(job)
        }
    }

    /** Sizes in CPUs of the last jobs of classes whose users wait for tasks to start. */
    private val urgentSizes = ArrayDeque<Double>()
    private var urgentSeen = -1

    private fun noteUrgentSizes() {
        var newest = urgentSeen
        for (job in jobs.open) {
            if (job.entry.id <= urgentSeen || !objectives.startsCount(job)) continue
            newest = maxOf(newest, job.entry.id)
            if (job.service) continue // room is kept for those by machine, see [Replicas]
            urgentSizes.addLast(job.each.cpus * job.spec.tasks)
            if (urgentSizes.size > SIZES_KEPT) urgentSizes.removeFirst()
        }
        urgentSeen = newest
    }

    /** CPUs that work which can wait leaves free for urgent work to come: as much as its jobs mostly take. */
    fun reserve(): Double = if (urgentSizes.isEmpty()) 0.0 else options.urgentReserve * urgentSizes.average()

    private fun yields(job: OpenJob): Boolean =
        job.spec.priority >= Priority.STANDARD &&
            !objectives.startsCount(
                job,
            ) && !withinGuarantee(job) && !pressing(job, 0.0) &&
            !waitsLong(job)

    /**
     * Whether some of the job has waited for so long that room kept for other work is no longer kept from it. An
     * earlier version kept it for ever, so that work waited beside machines with room for it.
     */
    private fun waitsLong(job: OpenJob): Boolean = context.now.wall - job.allPlacedWall > KEPT_FROM_MS

    fun round(): List<Allocation> {
        preempted.clear()
        unplaced = emptyList()
        if (jobs.open.none { it.placeable } && !moves.pending()) return emptyList()
        pools.clear()
        lookForScarceTypes()
        findGuaranteed()
        findGivenUp()
        noteUrgentSizes()
        val capacity = poolCpus(-1)
        noteOwed(capacity)
        val waiting = order()
        val placeable = fleet.placeable()
        val withRoom = withRoom(placeable, waiting)
        val restarts = moves.start(placeable)
        val round = Round(placeable, withRoom, capacity)
        round.take(restarts)
        var i = 0
        while (i < waiting.size) {
            val first = waiting[i]
            var end = i + 1
            while (end < waiting.size && alike(first, waiting[end])) end++
            // Among jobs of one standing, a machine goes first to one whose image it holds: fetching costs machine
            // time.
            if (end - i > 1 && !objectives.startsCount(first)) {
                for (k in i until end) round.serve(waiting[k], heldOnly = true)
            }
            for (k in i until end) round.serve(waiting[k], heldOnly = false)
            i = end
        }
        round.moveReplicas()
        unplaced = round.left
        preempt(round.left, placeable)
        for ((job, count) in round.limited) makeWayWithinLimit(job, count)
        return round.out
    }

    private fun alike(a: OpenJob, b: OpenJob): Boolean =
        !goesFirst(a) && !goesFirst(b) &&
            a.spec.priority == b.spec.priority && objectives.startsCount(
                a,
            ) == objectives.startsCount(b) && standing(a) == standing(b) &&
            (canWait(a) || standing(a) == LATE)

    /** Whether others may go before the job for a while without making it late. */
    private fun canWait(job: OpenJob): Boolean {
        val due = due(job)
        return due == Long.MAX_VALUE || due - context.now.wall > job.spec.expectedS * LATE_FACTOR * 1000 + SLACK_MS
    }

    /** What one round has given away so far. */
    private inner class Round(
        private val placeable: List<Machine>,
        private val machines: List<Machine>,
        private val capacity: Double,
    ) {
        val out = ArrayList<Allocation>()
        val left = ArrayList<Unplaced>()
        private var free = machines.sumOf { it.left.cpus }
        private val reserve = reserve()
        private var backlog = 0.0 // CPU seconds of waiting work, this job's and what goes before it
        private val given = HashMap<Int, Double>() // by team
        private val givenCards = HashMap<Int, Double>()
        private val taken = HashMap<OpenJob, Int>()
        private var kept = false
        private var exceptions = MOST_EXCEPTIONS

        /** Replicas that their team's limit keeps from running. */
        val limited = ArrayList<Pair<OpenJob, Int>>()

        /** Services of which a replica starts on the room held for it; the rest of them waits for the next round. */
        private val moved = HashSet<OpenJob>()

        /** Takes in [restarts] of replicas that move, which have their places already. */
        fun take(restarts: List<Allocation>) {
            for (allocation in restarts) {
                out.add(allocation)
                moved.add(allocation.job)
                note(allocation.job, allocation.tasks.size)
            }
        }

        private var planned = false

        /** Plans moves of replicas, once in a round: after the starts of services and before any other work. */
        fun moveReplicas() {
            if (planned) return
            planned = true
            val plan = moves.plan(placeable)
            preempted.addAll(plan.stoppedOn)
            left.addAll(plan.lacking)
        }

        fun serve(job: OpenJob, heldOnly: Boolean) {
            if (job in moved) return
            if (!job.service && !goesFirst(job) && !kept) {
                kept = true
                moveReplicas()
                free -= replicas.keepRoom(machines)
            }
            val ready = job.ready.cardinality() - (taken[job] ?: 0)
            val wanted = minOf(ready, headroom(job, given, givenCards))
            if (job.service && wanted < ready) limited.add(job to ready - wanted)
            var want = wanted
            // A probe, not the whole array.
            if (job.failures > 0 && job.failsAround(context.steady)) want = minOf(want, 1)
            if (goesFirst(job) &&
                !job.gang
            ) {
                want =
                    minOf(want, maxOf(1, (minOf(job.owedCpus, owedLeft) / maxOf(job.each.cpus, 0.1)).toInt()))
            } else if (yields(job)) {
                want = minOf(want, ((free - reserve) / maxOf(job.each.cpus, 0.1)).toInt())
            }
            if (job.gang && (!job.live.isEmpty() || want < ready)) want = 0 // all at once or not at all
            // Rules on zones are counted over what one call places, so such jobs are placed in one.
            if (heldOnly && (job.gang || job.spec.together || job.spec.spread)) want = 0
            var placed =
                when {
                    want <= 0 -> 0
                    job.gang -> placeGang(job, want, machines, out)
                    else -> place(job, want, machines, out, taken[job] ?: 0, heldOnly)
                }
            // Room for services is no longer kept from what waits long, see [waitsLong].
            val again = placed == 0 || !job.spec.together && !job.spec.spread
            if (kept && again && placed < want && !heldOnly && !job.service && waitsLong(job) && exceptions-- > 0) {
                replicas.giveBack()
                placed +=
                    if (!job.gang) {
                        place(
                            job,
                            want - placed,
                            machines,
                            out,
                            (taken[job] ?: 0) + placed,
                            false,
                        )
                    } else {
                        placeGang(job, want, machines, out)
                    }
                replicas.keepRoom(machines)
            }
            if (placed > 0) note(job, placed)
            if (placed == ready) job.allPlacedWall = context.now.wall
            if (heldOnly || placed >= wanted) return
            if (want > 0) backlog += (wanted - placed) * job.each.cpus * job.spec.expectedS
            val zones = if (job.spec.spread || job.spec.together) zonesAfter(job) else null
            left.add(Unplaced(job, wanted - placed, want > 0 && pressing(job, backlog / maxOf(1.0, capacity)), zones))
        }

        /** The rule on zones as it stands with what this round has given the job. */
        private fun zonesAfter(job: OpenJob): ZoneRule {
            val zones = ZoneRule(job, fleet)
            for (a in out) if (a.job === job) zones.take(a.machine.zone, a.tasks.size)
            return zones
        }

        private fun note(job: OpenJob, placed: Int) {
            free -= placed * job.each.cpus
            taken.merge(job, placed, Int::plus)
            job.placedWall = context.now.wall
            if (kindPlacedWall.size > KINDS_KEPT) {
                kindPlacedWall.clear()
                kindServedWall.clear()
            }
            kindPlacedWall[Kind(job)] = context.now.wall
            if (!goesFirst(job)) kindServedWall[Kind(job)] = context.now.wall
            if (goesFirst(job)) owedLeft -= placed * job.each.cpus
            job.owedCpus = maxOf(0.0, job.owedCpus - placed * job.each.cpus)
            given.merge(job.team, placed * job.each.cpus, Double::plus)
            givenCards.merge(job.team, placed * job.each.cards, Double::plus)
        }
    }

    /**
     * The machines that could take the smallest task that waits; in a full fleet they are few, and a round is short.
     */
    private fun withRoom(placeable: List<Machine>, waiting: List<OpenJob>): List<Machine> {
        val cpus = waiting.minOfOrNull { it.each.cpus } ?: 0.0
        val memory = waiting.minOfOrNull { it.each.memoryGb } ?: 0.0
        val least = Resources(cpus, 0.0, memory)
        return placeable.filter { m ->
            m.left = m.room(fleet.types)
            least.fitsIn(m.left)
        }
    }

    /**
     * Where a job stands among those of its priority. Work whose start its users still wait for goes first, then what
     * can be done in time, the teams' guarantees before the rest.
     */
    private fun standing(job: OpenJob): Int =
        when {
            objectives.startable(job, context.now.wall) -> 0
            withinGuarantee(job) && objectives.freshGuarantee(job, context.now.wall) -> 0
            objectives.mustStart(job, context.now.wall) -> 0
            hopeless(job) || job in givenUp -> LATE
            withinGuarantee(job) -> 1
            else -> 2
        }

    /** Jobs that cannot all be in time together with the others, chosen so that as few as possible are late. */
    private val givenUp = HashSet<OpenJob>()

    /**
     * When more is asked of a type than it can do in time, someone will be late; what costs most machine time gives
     * way, as long as it takes to bring the rest in on time (Moore and Hodgson's rule, by type and priority). It is put
     * off, not for ever: see [noteOwed].
     */
    private fun findGivenUp() {
        givenUp.clear()
        val now = context.now.wall
        for ((pool, jobs) in jobs.open.filter { it.placeable || !it.live.isEmpty() }.groupBy {
            it.onlyType to
                it.spec.priority
        }) {
            val cpus = poolCpus(pool.first)
            if (cpus <= 0) continue
            val chosen = PriorityQueue<Pair<OpenJob, Double>>(compareBy { -it.second })
            var sum = 0.0
            for (job in jobs.filter { due(it) != Long.MAX_VALUE && !hopeless(it) }.sortedBy { due(it) }) {
                val work = (job.spec.tasks - job.doneCount) * job.each.cpus * job.spec.expectedS / cpus
                chosen.add(job to work)
                sum += work
                if (now + maxOf(sum, job.spec.expectedS) * SURE_FACTOR * 1000 <= due(job)) continue
                val (largest, saved) = chosen.poll()
                sum -= saved
                if (largest.live.isEmpty()) givenUp.add(largest)
            }
        }
    }

    /**
     * Whether the job has missed what its users wait for. When more is asked than can be done, work that can still be
     * in time goes first: running what is late anyway would only make the rest late too.
     */
    private fun hopeless(job: OpenJob): Boolean {
        if (objectives.startable(job, context.now.wall)) return false
        val due = due(job)
        return due != Long.MAX_VALUE && context.now.wall + job.spec.expectedS * SURE_FACTOR * 1000 > due
    }

    /** Whether a job that waits for [waitS] more seconds would start or end too late. */
    private fun pressing(job: OpenJob, waitS: Double): Boolean {
        if (objectives.startsCount(job) || withinGuarantee(job)) return true
        val due = due(job)
        if (due == Long.MAX_VALUE) return false
        return context.now.wall + (waitS + job.spec.expectedS * LATE_FACTOR) * 1000 > due
    }

    /** Machines on which this round decided to stop tasks. */
    val preempted = LinkedHashSet<Machine>()

    /**
     * Stops work for tasks whose start is still in time, on machines that hold their image: work of lower priority for
     * urgent tasks, and what other teams run beyond their guarantees for tasks within one. Only what saves its progress
     * or has hardly begun is stopped, and no other work is preempted.
     */
    private fun preempt(left: List<Unplaced>, placeable: List<Machine>) {
        var places: List<Machine>? = null
        for (u in left) {
            val urgent = objectives.startable(u.job, context.now.wall) && u.job.spec.priority <= Priority.HIGH
            val owed = withinGuarantee(u.job) && objectives.freshGuarantee(u.job, context.now.wall)
            if (!urgent && !owed || u.job.gang) continue
            if (u.job.service) {
                preemptFor(
                    u,
                    placeable.filter { m ->
                        m.attempts.any { it.stopping || yieldsTo(it, u.job) }
                    },
                    urgent,
                    owed,
                )
                continue
            }
            val some =
                places ?: placeable.filter { m -> m.attempts.any { it.stopping || stoppable(it) } }.also { places = it }
            if (some.isEmpty()) return
            preemptFor(u, some, urgent, owed)
        }
    }

    /** Work of lower priority of its own team gives way to replicas that the team's limit would keep from running. */
    private fun makeWayWithinLimit(job: OpenJob, count: Int) {
        var need = count * job.each.cpus
        val victims = ArrayList<Attempt>()
        for (m in fleet.machines) {
            for (a in m.attempts) {
                if (a.job.team != job.team) continue
                if (a.stopping && a.onMachine) {
                    need -= a.job.each.cpus
                } else if (yieldsTo(a, job)) {
                    victims.add(a)
                }
            }
        }
        victims.sortWith(cheapestFirst)
        for (a in victims) {
            if (need <= Resources.EPSILON) return
            a.stopping = true
            need -= a.job.each.cpus
            preempted.add(a.machine)
        }
    }

    private fun preemptFor(u: Unplaced, candidates: List<Machine>, urgent: Boolean, owed: Boolean) {
        val job = u.job
        val places = candidates.filter { (job.service || !fetches(job, it)) && allowed(job, it) && u.admits(it.zone) }
        var need = u.count - places.sumOf { job.each.countIn(roomAfterStops(it)) }
        if (need <= 0) return
        val victims =
            places.associateWith { m ->
                m.attempts.filter { mayStop(it, job, urgent, owed) }.sortedWith(cheapestFirst)
            }
        val heldFirst = compareBy<Map.Entry<Machine, List<Attempt>>> { if (fetches(job, it.key)) 1 else 0 }
        for ((m, some) in victims.entries
            .filter {
                it.value.isNotEmpty()
            }.sortedWith(heldFirst.thenBy(cheapestFirst) { it.value.first() })) {
            if (need <= 0) return
            need -= stopOn(m, some, job, need)
        }
    }

    private val cheapestFirst =
        compareBy<Attempt>({
            if (it.job.spec.checkpointS >
                0
            ) {
                0
            } else {
                1
            }
        }, { -it.placedAt }, { it.machine.id }, { it.index })

    /**
     * Stops as many of [victims] on [m] as make room there for tasks of [job], and none that do not: an earlier version
     * counted CPUs over all machines, so what was stopped went back to where it had been, since the room was too small
     * for the other.
     */
    private fun stopOn(m: Machine, victims: List<Attempt>, job: OpenJob, most: Int): Int {
        var room = roomAfterStops(m)
        var fitting = job.each.countIn(room)
        var made = 0
        val pending = ArrayList<Attempt>()
        for (v in victims) {
            if (made >= most) break
            pending.add(v)
            room = plus(room, v.job.each)
            val now = job.each.countIn(room)
            if (now == fitting) continue
            made += now - fitting
            fitting = now
            for (p in pending) p.stopping = true
            pending.clear()
            preempted.add(m)
        }
        return made
    }

    /** The room that this round leaves on [m], and what its tasks that are being stopped will leave. */
    private fun roomAfterStops(m: Machine): Resources {
        var room = m.left
        for (a in m.attempts) if (a.stopping && a.onMachine) room = plus(room, a.job.each)
        return room
    }

    private fun plus(a: Resources, b: Resources) =
        Resources(a.cpus + b.cpus, a.cards + b.cards, a.memoryGb + b.memoryGb)

    /** Whether little is lost by stopping [a], whatever for. */
    private fun stoppable(a: Attempt): Boolean =
        a.onMachine && !a.stopping && !a.owed && a.job.spec.shape == Shape.ARRAY &&
            (a.job.spec.checkpointS > 0 || context.steady - a.placedAt < YOUNG_MS) && !withinGuarantee(a.job)

    /**
     * For a replica any task of lower priority gives way, those that lose least first: who asks for a service waits for
     * it all along.
     */
    private fun yieldsTo(a: Attempt, by: OpenJob): Boolean =
        a.onMachine && !a.stopping && !a.job.service && !a.job.gang && a.job.spec.priority > by.spec.priority

    private fun mayStop(a: Attempt, by: OpenJob, urgent: Boolean, owed: Boolean): Boolean {
        if (by.service && yieldsTo(a, by)) return true
        if (!stoppable(a)) return false
        val lower = urgent && a.job.spec.priority > by.spec.priority
        val borrowed =
            owed && a.job.team != by.team && a.job.spec.priority >= by.spec.priority && quotas.beyond(a.job.team)
        return lower || borrowed
    }

    private fun headroom(job: OpenJob, given: Map<Int, Double>, givenCards: Map<Int, Double>): Int {
        val extra = Resources(given[job.team] ?: 0.0, givenCards[job.team] ?: 0.0, 0.0)
        return quotas.headroom(job.team, job.each, extra)
    }

    /** Places all tasks of a gang in this round, or gives back whatever it had taken. */
    private fun placeGang(job: OpenJob, want: Int, machines: List<Machine>, out: MutableList<Allocation>): Int {
        val before = machines.map { it.left }
        val size = out.size
        if (place(job, want, machines, out, 0, false) == want) return want
        for ((i, m) in machines.withIndex()) m.left = before[i]
        while (out.size > size) out.removeLast()
        return 0
    }

    /**
     * Places up to [want] tasks, after the [skip] that this round has placed already; [heldOnly]: only where the image
     * is.
     */
    private fun place(
        job: OpenJob,
        want: Int,
        machines: List<Machine>,
        out: MutableList<Allocation>,
        skip: Int,
        heldOnly: Boolean,
    ): Int {
        val zones = ZoneRule(job, fleet)
        if (zones.blocked) return 0
        val urgent = objectives.startsCount(job)
        val fits = ArrayList<Machine>()
        for (m in machines) {
            if (!job.each.fitsIn(m.left) || !allowed(job, m)) continue
            val fetches = fetches(job, m)
            if (heldOnly && fetches) continue
            m.rank = (if (wantedElsewhere(job, m.type)) 4 else 0) + (
                if (fetches) {
                    if (urgent) {
                        3
                    } else {
                        1
                    }
                } else {
                    0
                }
            )
            fits.add(m)
        }
        if (fits.isEmpty()) return 0
        val ordered = sample(fits, want, job)
        ordered.sortWith(preference)
        if (job.spec.together) zones.chooseZone(ordered)
        var left = want
        var next = job.ready.nextSetBit(0)
        repeat(skip) { next = job.ready.nextSetBit(next + 1) }
        // Replicas of one service are spread over machines first, and share machines only for want of others.
        for (k in 0 until if (job.service) ordered.size * 2 else ordered.size) {
            if (left == 0) break
            val m = ordered[k % ordered.size]
            var n = minOf(left, job.each.countIn(m.left), zones.roomIn(m.zone))
            if (job.service && k < ordered.size) n = minOf(n, replicas.mostOn(job) - replicas.on(m, job))
            if (n <= 0) continue
            val tasks = IntArray(n)
            for (i in 0 until n) {
                tasks[i] = next
                next = job.ready.nextSetBit(next + 1)
            }
            out.add(Allocation(job, m, tasks, goesFirst(job)))
            zones.take(m.zone, n)
            val room = m.left
            m.left =
                Resources(
                    room.cpus - n * job.each.cpus,
                    room.cards - n * job.each.cards,
                    room.memoryGb - n * job.each.memoryGb,
                )
            if (job.image >= 0) m.images.add(job.image)
            left -= n
        }
        return want - left
    }

    /**
     * Which of the machines that fit come first: those that no other work has to wait for; for work whose start users
     * wait for, those that hold the image; the smaller types, so that large ones stay whole; then those that hold the
     * image; then the fullest. Cost was tried as a tie-break and did not help, see docs/measurements.md.
     */
    private val preference =
        Comparator<Machine> { a, b ->
            var c = (a.rank shr 1).compareTo(b.rank shr 1)
            if (c == 0) c = fleet.size(a).compareTo(fleet.size(b))
            if (c == 0) c = a.rank.compareTo(b.rank)
            if (c == 0) c = a.left.cpus.compareTo(b.left.cpus)
            if (c == 0) c = a.id.compareTo(b.id)
            c
        }

    /** Whether tasks that fit no other type have lately waited for this one, which [job] does not need. */
    private fun wantedElsewhere(job: OpenJob, type: Int): Boolean =
        context.steady - onlyHereWaited.get(type) < PATIENCE_MS && job.onlyType != type

    private fun fetches(job: OpenJob, m: Machine): Boolean = job.image >= 0 && job.image !in m.images

    /**
     * Some of the machines that fit: those that hold the image first, then others, each from a random place on; all of
     * them when the sample has too little room. A sample drawn from all alike would mostly miss the few that hold the
     * image.
     */
    private fun sample(fits: ArrayList<Machine>, want: Int, job: OpenJob): ArrayList<Machine> {
        if (fits.size <= options.sampleSize) return fits
        val (held, others) = fits.partition { !fetches(job, it) }
        val some = ArrayList<Machine>(options.sampleSize * 2)
        var room = 0
        for (part in listOf(held, others)) {
            if (part.isEmpty()) continue
            val start = context.random.nextInt(part.size)
            val n = minOf(part.size, options.sampleSize)
            for (i in 0 until n) some.add(part[(start + i) % part.size].also { room += job.each.countIn(it.left) })
        }
        return if (room >= want) some else fits
    }

    /** Whether [job] may ever use [m]; room aside. */
    fun mayUse(job: OpenJob, m: Machine): Boolean = allowed(job, m)

    private fun allowed(job: OpenJob, m: Machine): Boolean =
        fleet.allows(job, m.type, m.zone, m.spot) && !job.avoids(m.id, context.steady) && !sparedFor(job, m.type)

    /** When jobs that fit no other type were last seen, and last seen waiting, by type. */
    private val onlyHereSeen = Int2LongOpenHashMap().apply { defaultReturnValue(Machine.NEVER) }
    private val onlyHereWaited = Int2LongOpenHashMap().apply { defaultReturnValue(Machine.NEVER) }

    private fun lookForScarceTypes() {
        for (job in jobs.open) {
            val type = onlyType(job)
            job.onlyType = type
            if (type < 0) continue
            onlyHereSeen.put(type, context.steady)
            if (!job.ready.isEmpty) onlyHereWaited.put(type, context.steady)
        }
    }

    private fun onlyType(job: OpenJob): Int {
        var only = -1
        var dearest = false
        for ((index, type) in fleet.types.withIndex()) {
            if (type == null || (job.types != null && index !in job.types)) continue
            if (!job.each.fitsIn(type.room)) {
                dearest = true
            } else if (only >= 0) {
                return -1
            } else {
                only = index
            }
        }
        return if (dearest) only else -1
    }

    /**
     * Types that alone can hold some jobs' tasks are left to those, since their work has nowhere else to go. Urgent
     * work may use them all the same, and so may work that has waited long while nothing waits for the type.
     */
    private fun sparedFor(job: OpenJob, type: Int): Boolean {
        val t = context.steady
        if (t - onlyHereSeen.get(type) > SCARCE_MS || job.onlyType == type) return false
        if (objectives.startsCount(job) || job.spec.priority < Priority.STANDARD || waitsLong(job)) return false
        val waited = context.now.wall - job.acceptedWall
        return waited < PATIENCE_MS || t - onlyHereWaited.get(type) < PATIENCE_MS
    }

    companion object {
        private const val YOUNG_MS = 12_000L
        private const val LATE = 3 // the standing of what cannot be in time any more
        private const val SLACK_MS = 20_000L
        private const val KINDS_KEPT = 10_000
        private const val SIZES_KEPT = 50
        private const val SCARCE_MS = 300_000L
        private const val PATIENCE_MS = 30_000L
        private const val KEPT_FROM_MS = 60_000L

        /**
         * Of the jobs that wait long only the first few are offered the room kept for services: each offer costs a
         * pass.
         */
        private const val MOST_EXCEPTIONS = 5
        private const val SURE_FACTOR = 0.8 // estimates are often too high; what may still do is not given up
        private const val LATE_FACTOR = 1.5

        /** Whether a machine of this type could ever run a task of this job. */
        fun fitsType(job: OpenJob, type: Int, machineType: MachineType): Boolean =
            (job.types == null || type in job.types) && job.each.fitsIn(machineType.room)
    }
}

/** `together` and `spread`, counted against every attempt that may be on a machine, wherever it may be. */
class ZoneRule(private val job: OpenJob, fleet: Fleet) {
    private val perZone = HashMap<Int, Int>()
    private var unknown = 0
    private var only = -1
    private val most = (job.spec.tasks + 1) / 2

    init {
        if (job.spec.together || job.spec.spread) {
            for (m in fleet.machines) {
                val n = m.attempts.count { it.job === job && it.phase != Attempt.Phase.EXITED }
                if (n == 0) continue
                if (m.zone < 0) unknown += n else perZone.merge(m.zone, n, Int::plus)
            }
            if (job.spec.together && perZone.isNotEmpty()) only = perZone.keys.first()
        }
    }

    /**
     * Whether a machine in [zone] could take a task of the job as things stand; any zone may yet be chosen for one that
     * has none.
     */
    fun admits(zone: Int): Boolean = (only < 0 || zone == only) && spreadRoom(zone) > 0

    /** A task may be in a zone that is not known: `together` has to wait. */
    val blocked: Boolean get() = job.spec.together && (unknown > 0 || perZone.size > 1)

    fun chooseZone(machines: List<Machine>) {
        if (only >= 0) return
        val room = HashMap<Int, Int>()
        for (m in machines) room.merge(m.zone, job.each.countIn(m.left), Int::plus)
        only = room.entries.maxByOrNull { it.value }?.key ?: -1
    }

    fun roomIn(zone: Int): Int =
        when {
            job.spec.together && zone != only -> 0
            else -> spreadRoom(zone)
        }

    private fun spreadRoom(zone: Int): Int =
        if (job.spec.spread) maxOf(0, most - unknown - (perZone[zone] ?: 0)) else Int.MAX_VALUE

    /** A task in [zone] will be gone. */
    fun leave(zone: Int) {
        if (zone < 0) unknown--
        if ((perZone[zone] ?: 0) > 1) perZone.merge(zone, -1, Int::plus) else perZone.remove(zone)
        if (job.spec.together) only = perZone.keys.firstOrNull() ?: -1
    }

    fun take(zone: Int, n: Int) {
        perZone.merge(zone, n, Int::plus)
        if (job.spec.together && only < 0) only = zone
    }
}
