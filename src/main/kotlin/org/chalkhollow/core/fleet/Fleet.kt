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
 * Owns what heartbeats tell about each machine: its state, and its worker's epoch and lease. A machine that sends no
 * heartbeats may still run its attempts: they are confirmed absent only when its lease has certainly expired, its epoch
 * has ended, or its deletion is confirmed. [CloudInventory] reads the cloud's lists, [ScaleOut] and [ScaleIn] scale the
 * fleet. Called by the controller; other modules read the machines here.
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
    private val reachability = MachineReachability(context, settings.heartbeatIntervalS, settings.workerLeaseS)
    private val leaseExpiry = LeaseExpiry(context, table, events, leaseMs)
    private val terminationNotices = SpotTerminationNotices(context)
    private val inventory = CloudInventory(context, names, table, cloud, staticMachines, settings.listLagS)
    private val scaleOut = ScaleOut(context, names, table, cloud, reachability, settings, options, label)
    private val scaleIn = ScaleIn(context, table, cloud, reachability, staticMachines, options, leaseMs)

    /** Machine types by index; a type that the catalog does not list is null. */
    val types: List<MachineType?> get() = table.types
    val machines: Collection<Machine> get() = table.all
    val isCatalogKnown: Boolean get() = inventory.isCatalogKnown

    /** Whether more machines may have to be rented at once, without waiting for the next interval. */
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

    /** CPUs of the machines of one type that are up or booting; of all types if [type] is negative. */
    fun cpus(type: Int): Double = table.cpus(type)

    fun cpusOf(machine: Machine): Double = table.cpusOf(machine)

    /** The shortest boot time of all types; half a minute while the catalog is not known. */
    fun minBootMs(): Long = inventory.minBootMs

    /** Whether every machine that the cloud lists as up has sent a heartbeat; false until the first list is read. */
    fun hasHeartbeatFromAllListed(): Boolean = inventory.hasHeartbeatFromAllListed()

    /** Machines that accept new tasks, see [MachineTable.placeable]. */
    fun placeable(): List<Machine> = table.placeable()

    /** Whether the type, zone and spot constraints of [job] allow machines of this kind; capacity is not checked. */
    fun allows(job: OpenJob, type: Int, zone: Int, spot: Boolean): Boolean = table.allows(job, type, zone, spot)

    /**
     * Records a heartbeat and returns its machine; null if the machine was removed or the epoch has ended. A heartbeat
     * that is no newer than the last one answered, such as a delayed copy, changes nothing.
     */
    fun observe(heartbeat: WorkerHeartbeat): Machine? {
        if (table.isRemoved(heartbeat.machine)) return drop(DroppedInput.HEARTBEAT_OTHER_INCARNATION)
        val machine = table.getOrAdd(heartbeat.machine)
        val lease = machine.lease
        if (lease.hasEnded(heartbeat.epoch) || machine.state == Machine.State.DELETING) {
            return drop(DroppedInput.HEARTBEAT_OTHER_INCARNATION)
        }
        if (heartbeat.epoch == lease.epoch && heartbeat.seq <= lease.respondedSeq) {
            val isRepeated = heartbeat.seq == lease.respondedSeq
            context.dropped.count(if (isRepeated) DroppedInput.HEARTBEAT_REPEATED else DroppedInput.HEARTBEAT_LATE)
            return machine
        }
        update(machine, heartbeat)
        return machine
    }

    private fun drop(input: DroppedInput): Machine? {
        context.dropped.count(input)
        return null
    }

    /** Records a heartbeat that is newer than all that were answered. */
    private fun update(machine: Machine, heartbeat: WorkerHeartbeat) {
        machine.describe(names.types.intern(heartbeat.type), names.zones.intern(heartbeat.zone), heartbeat.spot)
        machine.address = heartbeat.address
        val isNewEpoch = heartbeat.epoch > machine.lease.epoch
        if (isNewEpoch) beginEpoch(machine, heartbeat.epoch)
        val hasCurrentToken = heartbeat.fencingToken >= table.fencingToken
        val isFirstWithToken = !hasShownCurrentToken(machine) && hasCurrentToken
        reachability.onHeartbeat(machine, isNewEpoch, isFirstWithToken, hasCurrentToken)
        if (machine.state != Machine.State.UP || isFirstWithToken) context.changed()
        machine.markUp()
        machine.lease.recordHeartbeat(heartbeat.fencingToken, context.steady)
        terminationNotices.onHeartbeat(machine, heartbeat.spotNoticeS)
    }

    private fun hasShownCurrentToken(machine: Machine): Boolean = machine.lease.fencingToken >= table.fencingToken

    private fun beginEpoch(machine: Machine, epoch: Long) {
        if (machine.lease.epoch > 0) events.onNewEpoch(machine, hasShownCurrentToken(machine))
        machine.lease.beginEpoch(epoch)
        machine.availability.endQuarantine()
        machine.lastReconciledTasks = null
        machine.images.clear()
        machine.images.addAll(machine.cachedImages) // the cache outlives the epoch, fetches in progress do not
    }

    /** [machine] executed a command of this controller, so this controller's messages reach it. */
    fun confirmReachable(machine: Machine) = reachability.onProof(machine)

    /** Whether [machine] is to be probed with a direct command now; if so, the probe is recorded as sent. */
    fun beginProbeIfDue(machine: Machine): Boolean {
        if (machine.state != Machine.State.UP || !hasShownCurrentToken(machine)) return false
        return context.steady - machine.lease.heartbeatAtMs < leaseMs && reachability.beginProbeIfDue(machine)
    }

    /** Expires the leases that have certainly ended. */
    fun expireLeases() = leaseExpiry.expireDue()

    /**
     * Reads from the cloud what is due, and scales the fleet by at most one request. Only a leader scales. A rental of
     * unknown outcome is repeated before anything else is scaled. [headroomCpus] stay free for urgent work.
     */
    fun tick(leading: Boolean, unplaced: List<UnplacedTasks>, mayScaleOut: Boolean, headroomCpus: Double = 0.0) {
        cloud.refill()
        scaleOut.beginTick()
        inventory.readCatalogIfDue(leading)
        if (!leading || !isCatalogKnown) return
        inventory.readListIfDue()
        scaleIn.cordonOverpriced(hasUnplacedTasks = unplaced.isNotEmpty(), headroomCpus)
        if (cloud.isScaling) return
        if (scaleOut.isPending) return scaleOut.retry()
        if (scaleIn.deleteUnneeded(unplaced)) return
        if (mayScaleOut) scaleOut.rentFor(unplaced)
    }
}
