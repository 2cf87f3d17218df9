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
 * Owns what the cloud reports: the catalog of machine types and the list of machines. The list lags behind, so a
 * machine is removed only after it was missing for longer than the lag and sends no heartbeats. Called by [Fleet].
 */
class CloudInventory(
    private val context: CoreContext,
    private val names: Interners,
    private val table: MachineTable,
    private val cloud: CloudRequests,
    private val staticMachines: StaticMachines,
    listLagS: Double,
) {
    private var catalogReadAtMs = Machine.NEVER
    private var isReadingCatalog = false
    private var listReadAtMs = Machine.NEVER
    private var isReadingList = false
    private val missingAfterMs = (listLagS * 2 * MS_PER_S).toLong() + LIST_INTERVAL_MS * 2

    var isCatalogKnown = false
        private set

    /** The shortest boot time of all types; half a minute while the catalog is not known. */
    var minBootMs = DEFAULT_MIN_BOOT_MS
        private set

    fun start() {
        isReadingList = false
        listReadAtMs = Machine.NEVER
    }

    /** Reads the catalog when it is due. A follower reads it once, so that it can place tasks as soon as it leads. */
    fun readCatalogIfDue(leading: Boolean) {
        if (isReadingCatalog) return
        val due = catalogReadAtMs == Machine.NEVER || leading && context.steady - catalogReadAtMs > CATALOG_INTERVAL_MS
        if (!due || !cloud.trySpend()) return
        isReadingCatalog = true
        cloud.send(CloudOp.Catalog) { reply ->
            isReadingCatalog = false
            if (reply is CloudReply.Catalog) onCatalog(reply.types)
        }
    }

    private fun onCatalog(types: List<MachineType>) {
        catalogReadAtMs = context.steady
        isCatalogKnown = true
        for (type in types) {
            val index = names.types.intern(type.name)
            while (table.types.size <= index) table.types.add(null)
            table.types[index] = type
        }
        val minBootS = types.minOfOrNull { it.bootS } ?: return
        minBootMs = (minBootS * MS_PER_S).toLong()
    }

    fun readListIfDue() {
        if (isReadingList || context.steady - listReadAtMs <= LIST_INTERVAL_MS) return
        if (cloud.trySpend()) readList(after = null, foundNames = HashSet())
    }

    /** Reads the pages of the list that follow the name [after]; [foundNames] has the names on the pages before. */
    private fun readList(after: String?, foundNames: HashSet<String>) {
        isReadingList = true
        cloud.sendInTerm(CloudOp.Machines(after)) { reply ->
            isReadingList = false
            if (reply is CloudReply.Machines) {
                onPage(reply.page, foundNames)
            } else {
                listReadAtMs = context.steady - LIST_INTERVAL_MS / 2
            }
        }
    }

    private fun onPage(page: ListedPage, foundNames: HashSet<String>) {
        for (listed in page.machines) {
            foundNames.add(listed.name)
            updateListed(listed)
        }
        val lastName = page.machines.lastOrNull()?.name
        if (page.more && lastName != null) return readList(lastName, foundNames)
        listReadAtMs = context.steady
        staticMachines.onMachinesListed(foundNames)
        removeMissing(foundNames)
    }

    private fun updateListed(listed: ListedMachine) {
        if (table.isRemoved(listed.name)) return
        val machine = table.getOrAdd(listed.name)
        if (machine.state == Machine.State.DELETING) return
        machine.cloud.recordListed(listed.status, context.steady)
        if (!machine.isTypeKnown) {
            machine.describe(names.types.intern(listed.type), names.zones.intern(listed.zone), listed.spot)
            machine.cloud.recordCreated(context.steady - (listed.ageS * MS_PER_S).toLong())
        }
        if (listed.address.isNotEmpty()) machine.address = listed.address
    }

    /** Removes machines that are missing from the list and send no heartbeats. */
    private fun removeMissing(foundNames: Set<String>) {
        for (machine in ArrayList(table.all)) {
            if (machine.name !in foundNames && isMissing(machine)) table.remove(machine)
        }
    }

    private fun isMissing(machine: Machine): Boolean {
        if (machine.state == Machine.State.UP || machine.state == Machine.State.DELETING) return false
        // Its attempts may run until its lease expires.
        if (machine.state == Machine.State.BOOTING && machine.attempts.isNotEmpty()) return false
        val lastKnownAtMs = if (machine.cloud.isListed) machine.cloud.listedAtMs else machine.cloud.createdAtMs
        return context.steady - lastKnownAtMs > missingAfterMs
    }

    /** Whether every machine that the cloud lists as up has sent a heartbeat; false until the first list is read. */
    fun hasHeartbeatFromAllListed(): Boolean =
        listReadAtMs != Machine.NEVER && table.all.none { it.cloud.isListedUp && it.state == Machine.State.BOOTING }

    private companion object {
        const val CATALOG_INTERVAL_MS = 60_000L
        const val LIST_INTERVAL_MS = 4000L
        const val DEFAULT_MIN_BOOT_MS = 30_000L
    }
}
