package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.model.MachineType

/**
 * Owns the machines that this leader knows, and the cloud's machine types. A removed machine is never added again,
 * however late a heartbeat or a list names it. [Fleet] and its parts share it.
 */
class MachineTable(
    private val context: CoreContext,
    private val names: Interners,
    private val leaseMs: Long,
    private val events: MachineEvents,
) {
    private val byName = LinkedHashMap<String, Machine>()
    private val removedNames = HashSet<String>()

    val all: MutableCollection<Machine> get() = byName.values
    val size: Int get() = byName.size

    /** Machine types by index; a type that the catalog does not list is null. */
    val types = ArrayList<MachineType?>()

    /** The fencing token of this term as leader, and when the term began. */
    var fencingToken = 0L
        private set
    var termStartedAtMs = 0L
        private set

    fun start(newFencingToken: Long) {
        byName.clear()
        removedNames.clear()
        fencingToken = newFencingToken
        termStartedAtMs = context.steady
    }

    /** Returns the machine [name]; adds it if it is not known yet. */
    fun getOrAdd(name: String): Machine =
        byName.getOrPut(name) {
            Machine(names.machines.intern(name), name, context.steady).also {
                it.lease.assumeRespondedUntil(termStartedAtMs) // an earlier leader may have answered it until then
            }
        }

    fun find(name: String): Machine? = byName[name]

    fun isRemoved(name: String): Boolean = name in removedNames

    fun remove(machine: Machine) {
        events.onMachineGone(machine)
        byName.remove(machine.name)
        removedNames.add(machine.name)
    }

    /** CPUs of the machines that are up or booting. */
    fun cpus(): Double = byName.values.sumOf { if (it.isUpOrBooting) cpusOf(it) else 0.0 }

    /** CPUs of the machines of one type that are up or booting; of all types if [type] is negative. */
    fun cpus(type: Int): Double {
        if (type < 0) return cpus()
        return byName.values.sumOf { if (it.type == type && it.isUpOrBooting) cpusOf(it) else 0.0 }
    }

    private val Machine.isUpOrBooting: Boolean get() = state == Machine.State.UP || state == Machine.State.BOOTING

    fun cpusOf(machine: Machine): Double = types.getOrNull(machine.type)?.capacity?.cpus ?: 0.0

    fun priceOf(type: Int, spot: Boolean): Double =
        types.getOrNull(type)?.let { if (spot) it.spotPrice else it.price } ?: 0.0

    fun bootS(machine: Machine): Double = types.getOrNull(machine.type)?.bootS ?: DEFAULT_BOOT_S

    /**
     * Machines that accept new tasks: up, of a type that the catalog lists, reachable, not about to be reclaimed,
     * neither drained, cordoned nor quarantined, and [isFreshAndNotFull].
     */
    fun placeable(): List<Machine> = byName.values.filter { it.takesTasks && isFreshAndNotFull(it) && isTypeListed(it) }

    private val Machine.takesTasks: Boolean
        get() = state == Machine.State.UP && reachability.reachable && availability.acceptsTasks

    /** Whether the last heartbeat is less than half a lease old and the worker has not just found the machine full. */
    private fun isFreshAndNotFull(machine: Machine): Boolean =
        context.steady >= machine.fullUntilMs && context.steady - machine.lease.heartbeatAtMs < leaseMs / 2

    private fun isTypeListed(machine: Machine): Boolean = types.getOrNull(machine.type) != null

    /** Whether the type, zone and spot constraints of [job] allow machines of this kind; capacity is not checked. */
    fun allows(job: OpenJob, type: Int, zone: Int, spot: Boolean): Boolean {
        val isTypeAllowed = job.types == null || type in job.types
        val isZoneAllowed = job.zone < 0 || job.zone == zone
        return isTypeAllowed && isZoneAllowed && (!spot || job.spec.spotAllowed)
    }

    private companion object {
        /** Boot time assumed for a machine of a type that the catalog does not list. */
        const val DEFAULT_BOOT_S = 60.0
    }
}
