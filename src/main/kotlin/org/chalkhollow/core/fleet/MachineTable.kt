package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.model.MachineType

/**
 * Owns which machines this leader knows, and the cloud's machine types. A machine that is certainly gone is taken out
 * once and never comes back, however late a report or a list names it. [Fleet] and its parts share it.
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

    /** The generation in which this controller leads, and when it took over. */
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

    fun known(name: String): Machine =
        byName.getOrPut(name) {
            Machine(names.machines.intern(name), name).also {
                it.bornAt = context.steady
                it.answeredAt = takenOverAt // an earlier leader may have answered it until we took over
            }
        }

    fun find(name: String): Machine? = byName[name]

    fun isGone(name: String): Boolean = name in gone

    fun remove(m: Machine) {
        events.onMachineGone(m)
        byName.remove(m.name)
        gone.add(m.name)
    }

    /** CPUs of the machines that are up or on their way. */
    fun cpus(): Double = byName.values.sumOf { if (it.upOrBooting) cpusOf(it) else 0.0 }

    /** CPUs of those of one type; all if [type] is negative. */
    fun cpus(type: Int): Double =
        if (type < 0) cpus() else byName.values.sumOf { if (it.type == type && it.upOrBooting) cpusOf(it) else 0.0 }

    private val Machine.upOrBooting: Boolean get() = state == Machine.State.UP || state == Machine.State.BOOTING

    fun cpusOf(m: Machine): Double = types.getOrNull(m.type)?.room?.cpus ?: 0.0

    fun priceOf(type: Int, spot: Boolean): Double =
        types.getOrNull(type)?.let { if (spot) it.spotPrice else it.price } ?: 0.0

    fun bootS(m: Machine): Double = types.getOrNull(m.type)?.bootS ?: UNKNOWN_BOOT_S

    /** Machines that take new tasks: up, heard from at our token, neither draining nor about to be taken. */
    fun placeable(): List<Machine> =
        byName.values.filter { m ->
            m.takesTasks && heardLately(m) &&
                m.type in types.indices &&
                types[m.type] != null
        }

    private val Machine.takesTasks: Boolean
        get() = state == Machine.State.UP && reachable && !beingEmptied && noticeAt == Machine.NEVER

    private val Machine.beingEmptied: Boolean get() = draining || quarantined || cordoned

    private fun heardLately(m: Machine): Boolean =
        context.steady >= m.fullUntil && context.steady - m.heartbeatAt < leaseMs / 2

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
