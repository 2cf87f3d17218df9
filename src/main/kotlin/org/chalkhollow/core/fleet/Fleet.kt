package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.leaseMs
import org.chalkhollow.model.MachineType
import org.chalkhollow.model.WorkerHeartbeat
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.PlatformSettings

/**
 * Owns what is known of each machine from its heartbeats: its state, its worker's epoch and lease. Nothing on a machine
 * counts as gone before its lease has certainly expired, its epoch has ended, or its deletion is confirmed. What the
 * cloud lists and how the fleet is scaled belongs to its parts: [CloudInventory], [ScaleOut] and [ScaleIn]. Called by
 * the controller; the others read the machines here.
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
    private val table = MachineTable(context, names, leaseMs, events)
    private val cloud = CloudRequests(context, settings.cloudRps)
    private val reachability = MachineReachability(context, settings.heartbeatIntervalS, settings.leaseS)
    private val leaseExpiry = LeaseExpiry(context, table, events, leaseMs)
    private val spotNotices = SpotNotices(context)
    private val inventory = CloudInventory(context, names, table, cloud, staticMachines, settings.listLagS)
    private val scaleOut = ScaleOut(context, names, table, cloud, reachability, settings, options, label)
    private val scaleIn = ScaleIn(context, table, cloud, reachability, staticMachines, options, leaseMs)

    /** Machine types by index; a type that the catalog does not list is null. */
    val types: List<MachineType?> get() = table.types
    val machines: Collection<Machine> get() = table.all
    val catalogKnown: Boolean get() = inventory.catalogKnown

    /** Whether the fleet may have to be scaled out further at once. */
    val mayScaleOutMore: Boolean get() = scaleOut.mayScaleOutMore

    fun start(newFencingToken: Long) {
        table.start(newFencingToken)
        leaseExpiry.start()
        cloud.start(newFencingToken)
        inventory.start()
        scaleOut.start()
    }

    fun getOrAdd(name: String): Machine = table.getOrAdd(name)

    fun find(name: String): Machine? = table.find(name)

    /** CPUs of the machines of one type that are up or on their way; of all if [type] is negative. */
    fun cpus(type: Int): Double = table.cpus(type)

    fun cpusOf(machine: Machine): Double = table.cpusOf(machine)

    /** How soon a machine can be there at the best; half a minute while the catalog is not known. */
    fun leastBootMs(): Long = inventory.leastBootMs

    /** Whether every machine that the cloud lists as up has sent a heartbeat; never before a list was read. */
    fun heardFromAllListed(): Boolean = inventory.heardFromAllListed()

    /** Machines that take new tasks, see [MachineTable.placeable]. */
    fun placeable(): List<Machine> = table.placeable()

    /** Whether tasks of [job] may run on machines of this kind; room and type aside. */
    fun allows(job: OpenJob, type: Int, zone: Int, spot: Boolean): Boolean = table.allows(job, type, zone, spot)

    /**
     * Takes in the sender of a heartbeat; null for a machine that is gone or an epoch that has ended. A heartbeat that
     * is not newer than what is known, such as a copy that was held up on its way, changes nothing.
     */
    fun observe(heartbeat: WorkerHeartbeat): Machine? {
        if (table.isGone(heartbeat.machine)) return dropped(DroppedInput.HEARTBEAT_OTHER_INCARNATION)
        val machine = table.getOrAdd(heartbeat.machine)
        val lease = machine.lease
        if (lease.hasEnded(heartbeat.epoch) || machine.state == Machine.State.DELETING) {
            return dropped(DroppedInput.HEARTBEAT_OTHER_INCARNATION)
        }
        if (heartbeat.epoch == lease.epoch && heartbeat.seq <= lease.respondedSeq) {
            val repeated = heartbeat.seq == lease.respondedSeq
            context.dropped.count(if (repeated) DroppedInput.HEARTBEAT_REPEATED else DroppedInput.HEARTBEAT_LATE)
            return machine
        }
        update(machine, heartbeat)
        return machine
    }

    private fun dropped(input: DroppedInput): Machine? {
        context.dropped.count(input)
        return null
    }

    /** Takes in a heartbeat that is newer than all that were answered. */
    private fun update(machine: Machine, heartbeat: WorkerHeartbeat) {
        machine.describe(names.types.intern(heartbeat.type), names.zones.intern(heartbeat.zone), heartbeat.spot)
        machine.address = heartbeat.address
        val newEpoch = heartbeat.epoch > machine.lease.epoch
        if (newEpoch) beginEpoch(machine, heartbeat.epoch)
        val atOurFencingToken = heartbeat.fencingToken >= table.fencingToken
        val showsOurFencingToken = !hasShownOurFencingToken(machine) && atOurFencingToken
        reachability.onHeartbeat(machine, newEpoch, showsOurFencingToken, atOurFencingToken)
        if (machine.state != Machine.State.UP || showsOurFencingToken) context.changed()
        machine.markUp()
        machine.lease.recordHeartbeat(heartbeat.fencingToken, context.steady)
        spotNotices.onHeartbeat(machine, heartbeat.noticeS)
    }

    private fun hasShownOurFencingToken(machine: Machine): Boolean = machine.lease.fencingToken >= table.fencingToken

    private fun beginEpoch(machine: Machine, epoch: Long) {
        if (machine.lease.epoch > 0) events.onNewEpoch(machine, hasShownOurFencingToken(machine))
        machine.lease.beginEpoch(epoch)
        machine.availability.endQuarantine()
        machine.lastReconciledTasks = null
        machine.images.clear()
        machine.images.addAll(machine.cachedImages) // its cache outlives the epoch; what it was fetching does not
    }

    /** The machine carried out a direct command: our messages reach it. */
    fun confirmReachable(machine: Machine) = reachability.onProof(machine)

    /** Whether it is uncertain that our messages reach [machine], so that it is to be probed; true once in a while. */
    fun shouldProbe(machine: Machine): Boolean {
        if (machine.state != Machine.State.UP || !hasShownOurFencingToken(machine)) return false
        return context.steady - machine.lease.heartbeatAtMs < leaseMs && reachability.startProbe(machine)
    }

    /** Expires the leases that have certainly run out. */
    fun expireLeases() = leaseExpiry.run()

    /**
     * Reads from the cloud what is due, and scales the fleet by at most one request. Only a leader scales, and a
     * request without a reply is repeated before anything else is scaled. [headroomCpus] are to stay free for
     * urgent work.
     */
    fun tick(leading: Boolean, unplaced: List<UnplacedTasks>, mayScaleOut: Boolean, headroomCpus: Double = 0.0) {
        cloud.refill()
        scaleOut.beginTick()
        inventory.readCatalogIfDue(leading)
        if (!leading || !catalogKnown) return
        inventory.readListIfDue()
        scaleIn.cordonOverpriced(tasksWait = unplaced.isNotEmpty(), headroomCpus)
        if (cloud.isScaling) return
        if (scaleOut.isPending) return scaleOut.retry()
        if (scaleIn.deleteUnneeded(unplaced)) return
        if (mayScaleOut) scaleOut.rentFor(unplaced)
    }
}
