package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.common.CloudOp
import org.chalkhollow.core.common.CloudReply
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.model.ListedMachine
import org.chalkhollow.model.MachineType

/**
 * Owns what the cloud says there is: machine types, and the list of machines. The list lags behind, so a machine counts
 * as taken away only when it was missing for longer than that and does not report. Called by [Fleet].
 */
class CloudInventory(
    private val context: CoreContext,
    private val names: Interners,
    private val table: MachineTable,
    private val cloud: CloudRequests,
    private val staticMachines: StaticMachines,
    listLagS: Double,
) {
    private var catalogAt = Machine.NEVER
    private var catalogBusy = false
    private var listAt = Machine.NEVER
    private var listBusy = false
    private val missingMs = (listLagS * 2 * MS_PER_S).toLong() + LIST_MS * 2

    var catalogKnown = false
        private set

    /** How soon a machine can be there at the best; half a minute while the catalog is not known. */
    var leastBootMs = UNKNOWN_BOOT_MS
        private set

    fun start() {
        listBusy = false
        listAt = Machine.NEVER
    }

    /** Reads the catalog when it is due; a follower reads it once, so that it can place at once when it leads. */
    fun readCatalog(leading: Boolean) {
        if (catalogBusy) return
        val due = catalogAt == Machine.NEVER || leading && context.steady - catalogAt > CATALOG_MS
        if (!due || !cloud.spend()) return
        catalogBusy = true
        cloud.ask(CloudOp.Catalog) { reply ->
            catalogBusy = false
            if (reply is CloudReply.Catalog) take(reply.types)
        }
    }

    private fun take(types: List<MachineType>) {
        catalogAt = context.steady
        catalogKnown = true
        for (type in types) {
            val index = names.types.intern(type.name)
            while (table.types.size <= index) table.types.add(null)
            table.types[index] = type
        }
        types.minOfOrNull { it.bootS }?.let { leastBootMs = (it * MS_PER_S).toLong() }
    }

    /** Reads the machine list when it is due. */
    fun readList() {
        if (!listBusy && context.steady - listAt > LIST_MS && cloud.spend()) readList(null, HashSet())
    }

    private fun readList(after: String?, found: HashSet<String>) {
        listBusy = true
        cloud.askNow(CloudOp.Machines(after)) { reply ->
            listBusy = false
            if (reply !is CloudReply.Machines) {
                listAt = context.steady - LIST_MS / 2
                return@askNow
            }
            val machines = reply.page.machines
            for (m in machines) {
                found.add(m.name)
                onListed(m)
            }
            val last = machines.lastOrNull()?.name
            if (reply.page.more && last != null) {
                readList(last, found)
            } else {
                listAt = context.steady
                staticMachines.onList(found)
                dropUnlisted(found)
            }
        }
    }

    private fun onListed(l: ListedMachine) {
        if (table.isGone(l.name)) return
        val m = table.known(l.name)
        if (m.state == Machine.State.DELETING) return
        m.listedAt = context.steady
        if (m.type < 0) {
            m.type = names.types.intern(l.type)
            m.zone = names.zones.intern(l.zone)
            m.spot = l.spot
            m.bornAt = context.steady - (l.ageS * MS_PER_S).toLong()
        }
        if (l.address.isNotEmpty()) m.address = l.address
        m.failed = l.status == ListedMachine.Status.FAILED
        m.listedStarting = l.status == ListedMachine.Status.STARTING
    }

    /** A machine that was listed and no longer is, and does not report, has gone. */
    private fun dropUnlisted(found: Set<String>) {
        val t = context.steady
        for (m in ArrayList(table.all)) {
            if (m.name in found || m.state == Machine.State.UP || m.state == Machine.State.DELETING) continue
            if (m.state == Machine.State.BOOTING && m.attempts.isNotEmpty()) continue // its lease has to lapse first
            val since = if (m.listedAt != Machine.NEVER) m.listedAt else m.bornAt
            if (t - since > missingMs) table.remove(m)
        }
    }

    /** Whether every machine that the cloud lists as up has reported; never before a list was read. */
    fun heardFromListed(): Boolean =
        listAt != Machine.NEVER && table.all.none { it.listedUp && it.state == Machine.State.BOOTING }

    private val Machine.listedUp: Boolean get() = listedAt != Machine.NEVER && !listedStarting && !failed

    private companion object {
        const val CATALOG_MS = 60_000L
        const val LIST_MS = 4000L
        const val UNKNOWN_BOOT_MS = 30_000L
    }
}
