package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.common.CloudOp
import org.chalkhollow.core.common.CloudReply
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.model.ListedMachine
import org.chalkhollow.model.ListedPage
import org.chalkhollow.model.MachineType

/**
 * Owns what the cloud says there is: the catalog of machine types, and the list of machines. The list lags behind, so a
 * machine counts as gone only when it was missing for longer than that and sends no heartbeats. Called by [Fleet].
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
    fun readCatalogIfDue(leading: Boolean) {
        if (catalogBusy) return
        val due = catalogAt == Machine.NEVER || leading && context.steady - catalogAt > CATALOG_MS
        if (!due || !cloud.trySpend()) return
        catalogBusy = true
        cloud.send(CloudOp.Catalog) { reply ->
            catalogBusy = false
            if (reply is CloudReply.Catalog) onCatalog(reply.types)
        }
    }

    private fun onCatalog(types: List<MachineType>) {
        catalogAt = context.steady
        catalogKnown = true
        for (type in types) {
            val index = names.types.intern(type.name)
            while (table.types.size <= index) table.types.add(null)
            table.types[index] = type
        }
        val leastBootS = types.minOfOrNull { it.bootS } ?: return
        leastBootMs = (leastBootS * MS_PER_S).toLong()
    }

    /** Reads the list of machines when it is due. */
    fun readListIfDue() {
        if (listBusy || context.steady - listAt <= LIST_MS) return
        if (cloud.trySpend()) readList(after = null, found = HashSet())
    }

    /** Reads the pages of the list from the one that follows [after]; [found] has the names on those before. */
    private fun readList(after: String?, found: HashSet<String>) {
        listBusy = true
        cloud.sendInTerm(CloudOp.Machines(after)) { reply ->
            listBusy = false
            if (reply is CloudReply.Machines) {
                onPage(reply.page, found)
            } else {
                listAt = context.steady - LIST_MS / 2
            }
        }
    }

    private fun onPage(page: ListedPage, found: HashSet<String>) {
        for (listed in page.machines) {
            found.add(listed.name)
            onListed(listed)
        }
        val last = page.machines.lastOrNull()?.name
        if (page.more && last != null) return readList(last, found)
        listAt = context.steady
        staticMachines.onList(found)
        dropUnlisted(found)
    }

    private fun onListed(listed: ListedMachine) {
        if (table.isGone(listed.name)) return
        val machine = table.getOrAdd(listed.name)
        if (machine.state == Machine.State.DELETING) return
        machine.cloud.recordListed(listed.status, context.steady)
        if (!machine.isTypeKnown) {
            machine.describe(names.types.intern(listed.type), names.zones.intern(listed.zone), listed.spot)
            machine.cloud.recordCreated(context.steady - (listed.ageS * MS_PER_S).toLong())
        }
        if (listed.address.isNotEmpty()) machine.address = listed.address
    }

    /** A machine that was listed and no longer is, and sends no heartbeats, is gone. */
    private fun dropUnlisted(found: Set<String>) {
        for (machine in ArrayList(table.all)) {
            if (machine.name !in found && isMissing(machine)) table.remove(machine)
        }
    }

    private fun isMissing(machine: Machine): Boolean {
        if (machine.state == Machine.State.UP || machine.state == Machine.State.DELETING) return false
        // Its lease has to expire first.
        if (machine.state == Machine.State.BOOTING && machine.attempts.isNotEmpty()) return false
        val lastKnownAt = if (machine.cloud.isListed) machine.cloud.listedAtMs else machine.cloud.createdAtMs
        return context.steady - lastKnownAt > missingMs
    }

    /** Whether every machine that the cloud lists as up has sent a heartbeat; never before a list was read. */
    fun heardFromAllListed(): Boolean =
        listAt != Machine.NEVER && table.all.none { it.cloud.isListedUp && it.state == Machine.State.BOOTING }

    private companion object {
        const val CATALOG_MS = 60_000L
        const val LIST_MS = 4000L
        const val UNKNOWN_BOOT_MS = 30_000L
    }
}
