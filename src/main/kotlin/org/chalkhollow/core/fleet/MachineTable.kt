package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.model.MachineType

/**
 * Owns which machines this leader knows, and the cloud's machine types. A machine that is certainly gone is taken out
 * once and never comes back, however late a heartbeat or a list names it. [Fleet] and its parts share it.
 */
class MachineTable(
    private val context: CoreContext,
    private val names: Interners,
    private val leaseMs: Long,
    private val events: MachineEvents,
) {
    private val byName = LinkedHashMap<String, Machine>()
    private val gone = HashSet<String>()

    val all: MutableCollection<Machine> get() = byName.values
    val size: Int get() = byName.size

    /** Machine types by index; a type that the catalog does not list is null. */
    val types = ArrayList<MachineType?>()

    /** The fencing token of this term as leader, and when the term began. */
    var fencingToken = 0L
        private set
    var takenOverAt = 0L
        private set

    fun start(newFencingToken: Long) {
        byName.clear()
        gone.clear()
        fencingToken = newFencingToken
        takenOverAt = context.steady
    }

    /** The machine of this [name]; one that is not known yet is taken in. */
    fun getOrAdd(name: String): Machine =
        byName.getOrPut(name) {
            Machine(names.machines.intern(name), name, context.steady).also {
                it.lease.assumeRespondedUntil(takenOverAt) // by an earlier leader
            }
        }

    fun find(name: String): Machine? = byName[name]

    fun isGone(name: String): Boolean = name in gone

    fun remove(machine: Machine) {
        events.onMachineGone(machine)
        byName.remove(machine.name)
        gone.add(machine.name)
    }

    /** CPUs of the machines that are up or booting. */
    fun cpus(): Double = byName.values.sumOf { if (it.upOrBooting) cpusOf(it) else 0.0 }

    /** CPUs of those of one type; all if [type] is negative. */
    fun cpus(type: Int): Double {
        if (type < 0) return cpus()
        return byName.values.sumOf { if (it.type == type && it.upOrBooting) cpusOf(it) else 0.0 }
    }

    private val Machine.upOrBooting: Boolean get() = state == Machine.State.UP || state == Machine.State.BOOTING

    fun cpusOf(machine: Machine): Double = types.getOrNull(machine.type)?.room?.cpus ?: 0.0

    fun priceOf(type: Int, spot: Boolean): Double =
        types.getOrNull(type)?.let { if (spot) it.spotPrice else it.price } ?: 0.0

    fun bootS(machine: Machine): Double = types.getOrNull(machine.type)?.bootS ?: UNKNOWN_BOOT_S

    /**
     * Machines that take new tasks: up, of a type that the catalog lists, heard from lately, reachable, and neither
     * being emptied nor in quarantine.
     */
    fun placeable(): List<Machine> = byName.values.filter { it.takesTasks && heardLately(it) && isTypeListed(it) }

    private val Machine.takesTasks: Boolean
        get() = state == Machine.State.UP && reachability.reachable && availability.acceptsTasks

    private fun heardLately(machine: Machine): Boolean =
        context.steady >= machine.fullUntilMs && context.steady - machine.lease.heartbeatAtMs < leaseMs / 2

    private fun isTypeListed(machine: Machine): Boolean = types.getOrNull(machine.type) != null

    /** Whether tasks of [job] may run on machines of this kind; room and type aside. */
    fun allows(job: OpenJob, type: Int, zone: Int, spot: Boolean): Boolean {
        val typeAllowed = job.types == null || type in job.types
        val zoneAllowed = job.zone < 0 || job.zone == zone
        return typeAllowed && zoneAllowed && (!spot || job.spec.spotAllowed)
    }

    private companion object {
        /** How long a machine of a type that the catalog does not list is expected to boot. */
        const val UNKNOWN_BOOT_S = 60.0
    }
}
