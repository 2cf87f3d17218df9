package org.chalkhollow.core.fleet

import org.chalkhollow.core.Controller
import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.core.common.leaseMs
import org.chalkhollow.core.placement.ReplicaMigration
import org.chalkhollow.model.MachineType
import org.chalkhollow.model.WorkerHeartbeat
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.PlatformSettings

/**
 * Owns the state of each machine: what reports say of it, its session, its lease. Nothing on a machine counts as gone
 * before its lease has certainly lapsed, its session has ended, or its deletion is confirmed. What the cloud lists,
 * what is rented and what is returned is decided by its parts, [CloudInventory], [ScaleOut] and [ScaleIn].
 * Called by [Controller]; the others read the machines here.
 */
class Fleet(
    private val context: CoreContext,
    private val names: Interners,
    settings: PlatformSettings,
    options: OperatorSettings,
    label: String,
    staticMachines: StaticMachines,
    private val events: MachineEvents = MachineEvents.None,
) {
    private val leaseMs = settings.leaseMs

    /** After this long without an answer a lease has certainly lapsed. */
    private val leaseExpiresAfterMs = leaseMs + leaseMs / DRIFT_OF + LEASE_EXPIRY_MARGIN_MS

    /** No lease lapses before then: each answer puts its machine's lapse off, and one that comes later is longer. */
    private var nextLeaseExpiryAt = 0L
    private val table = MachineTable(context, names, leaseMs, events)
    private val cloud = CloudRequests(context, settings.cloudRps)
    private val reachability = MachineReachability(context, settings.heartbeatIntervalS, settings.leaseS)
    private val listing = CloudInventory(context, names, table, cloud, staticMachines, settings.listLagS)
    private val rental = ScaleOut(context, names, table, cloud, reachability, settings, options, label)
    private val returns = ScaleIn(context, table, cloud, reachability, staticMachines, options, leaseMs)

    /** Machine types by index; a type that the catalog does not list is null. */
    val types: List<MachineType?> get() = table.types
    val machines: Collection<Machine> get() = table.all
    val catalogKnown: Boolean get() = listing.catalogKnown

    /** Whether there may be more to rent at once. */
    val moreNow: Boolean get() = rental.moreNow

    fun start(newFencingToken: Long) {
        table.start(newFencingToken)
        nextLeaseExpiryAt = 0L
        cloud.start(newFencingToken)
        listing.start()
        rental.start()
    }

    fun known(name: String): Machine = table.known(name)

    fun find(name: String): Machine? = table.find(name)

    /** CPUs of the machines of one type that are up or on their way; of all if [type] is negative. */
    fun cpus(type: Int): Double = table.cpus(type)

    fun size(m: Machine): Double = table.cpusOf(m)

    /** How soon a machine can be there at the best; half a minute while the catalog is not known. */
    fun leastBootMs(): Long = listing.leastBootMs

    /** Whether every machine that the cloud lists as up has reported; never before a list was read. */
    fun heardFromListed(): Boolean = listing.heardFromListed()

    /** Machines that take new tasks: up, heard from at our token, neither draining nor about to be taken. */
    fun placeable(): List<Machine> = table.placeable()

    /** Whether tasks of [job] may run on machines of this kind; room and type aside. */
    fun allows(job: OpenJob, type: Int, zone: Int, spot: Boolean): Boolean = table.allows(job, type, zone, spot)

    /**
     * Takes in who reports; null for a machine that is gone or a session that is over. A report that is not newer than
     * what is known, such as a copy that was held up on its way, changes nothing.
     */
    fun observe(heartbeat: WorkerHeartbeat): Machine? {
        if (table.isGone(heartbeat.machine)) return dropped(DroppedInput.HEARTBEAT_OTHER_INCARNATION)
        val m = table.known(heartbeat.machine)
        if (heartbeat.epoch <= m.expiredEpoch || heartbeat.epoch < m.epoch || m.state == Machine.State.DELETING) {
            return dropped(DroppedInput.HEARTBEAT_OTHER_INCARNATION)
        }
        if (heartbeat.epoch == m.epoch && heartbeat.seq <= m.answeredSeq) {
            val repeated = heartbeat.seq == m.answeredSeq
            context.dropped.count(if (repeated) DroppedInput.HEARTBEAT_REPEATED else DroppedInput.HEARTBEAT_LATE)
            return m
        }
        m.type = names.types.intern(heartbeat.type)
        m.zone = names.zones.intern(heartbeat.zone)
        m.spot = heartbeat.spot
        m.address = heartbeat.address
        val newEpoch = heartbeat.epoch > m.epoch
        if (newEpoch) beginEpoch(m, heartbeat.epoch)
        val atOurFencingToken = heartbeat.fencingToken >= table.fencingToken
        val showsOurFencingToken = m.fencingToken < table.fencingToken && atOurFencingToken
        reachability.reported(m, newEpoch, showsOurFencingToken, atOurFencingToken)
        if (m.state != Machine.State.UP || showsOurFencingToken) context.changed()
        m.state = Machine.State.UP
        m.heartbeatAt = context.steady
        m.fencingToken = maxOf(m.fencingToken, heartbeat.fencingToken)
        takeNotice(m, heartbeat.noticeS)
        return m
    }

    /** Takes in whether, and in how many seconds, the cloud will take [m]. */
    private fun takeNotice(m: Machine, noticeS: Double?) {
        if (noticeS == null) {
            m.noticeAt = Machine.NEVER
            return
        }
        if (m.noticeAt == Machine.NEVER) context.changed()
        m.noticeAt = context.steady + (noticeS * MS_PER_S).toLong()
        windDown(m)
    }

    private fun dropped(input: DroppedInput): Machine? {
        context.dropped.count(input)
        return null
    }

    private fun beginEpoch(m: Machine, epoch: Long) {
        if (m.epoch > 0) events.onNewEpoch(m, m.fencingToken >= table.fencingToken)
        m.epoch = epoch
        m.quarantined = false
        m.seq = -1
        m.answeredSeq = -1
        m.reconciled = null
        m.images.clear()
        m.images.addAll(m.held) // its cache outlives the session; what it was fetching does not
    }

    /** It carried out what we sent it directly: our commands reach it. */
    fun reached(m: Machine) = reachability.proved(m)

    /** Whether it is not certain that [m] hears us, so that it is to be asked directly; true once in a while. */
    fun toBeAsked(m: Machine): Boolean {
        if (m.state != Machine.State.UP || m.fencingToken < table.fencingToken) return false
        return context.steady - m.heartbeatAt < leaseMs && reachability.ask(m)
    }

    /**
     * The cloud will take the machine: what can save its progress does so now, and what will certainly not be over by
     * then begins elsewhere at once, since it would be lost here and known to be lost only when the lease has lapsed.
     */
    private fun windDown(m: Machine) {
        val leftS = (m.noticeAt - context.steady) / MS_PER_S
        for (a in m.attempts) {
            if (!a.onMachine || a.stopRequested || a.job.service) continue // replicas are moved by [ReplicaMigration]
            val saves = a.job.spec.checkpointS > 0 && a.phase == Attempt.Phase.RUNNING
            val overInTime = a.inherited || a.minRemainingS(context.steady) <= leftS
            if (saves || !overInTime) a.requestStop()
        }
    }

    /** Ends leases that have certainly lapsed. */
    fun expireLeases() {
        val t = context.steady
        if (t < nextLeaseExpiryAt) return
        nextLeaseExpiryAt = t + leaseExpiresAfterMs
        for (m in table.all) {
            if (m.state != Machine.State.UP && m.attempts.isEmpty()) continue
            if (t < m.answeredAt + leaseExpiresAfterMs) {
                nextLeaseExpiryAt = minOf(nextLeaseExpiryAt, m.answeredAt + leaseExpiresAfterMs)
                continue
            }
            if (m.state == Machine.State.LOST || m.state == Machine.State.DELETING) {
                events.onMachineGone(m) // asked to be deleted with tasks on it, and whether it is gone is not known yet
                continue
            }
            context.info("the lease of ${m.name} has lapsed")
            m.state = Machine.State.LOST
            m.lostAt = t
            m.expiredEpoch = maxOf(m.epoch, m.expiredEpoch)
            events.onMachineGone(m)
        }
    }

    /** [headroomCpus] are to stay free for urgent work. */
    fun tick(leading: Boolean, unplaced: List<UnplacedTasks>, mayRent: Boolean, headroomCpus: Double = 0.0) {
        cloud.refill()
        rental.moreNow = false
        listing.readCatalog(leading)
        if (!leading || !catalogKnown) return
        listing.readList()
        returns.retire(unplaced.isNotEmpty(), headroomCpus)
        if (cloud.changing) return
        if (rental.isPending) return rental.retry()
        if (returns.returnMachines(unplaced)) return
        if (mayRent) rental.rentFor(unplaced)
    }

    private companion object {
        const val LEASE_EXPIRY_MARGIN_MS = 500L

        /** Clocks of two machines drift apart by less than one part in this many. */
        const val DRIFT_OF = 500L
    }
}
