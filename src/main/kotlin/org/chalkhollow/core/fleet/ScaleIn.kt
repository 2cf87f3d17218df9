package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CloudOp
import org.chalkhollow.core.common.CloudReply
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.settings.OperatorSettings

/**
 * Owns which machines are deleted: those that failed, never came up, were lost, fail their tasks, are silent or
 * unreachable, and those that idle. A machine with tasks on it is deleted only where a confirmed deletion is the sooner
 * proof that they are gone. Called by [Fleet].
 */
class ScaleIn(
    private val context: CoreContext,
    private val table: MachineTable,
    private val cloud: CloudRequests,
    reachability: MachineReachability,
    staticMachines: StaticMachines,
    options: OperatorSettings,
    private val leaseMs: Long,
) {
    private val silentMachines = SilentMachines(context, table, reachability, leaseMs)
    private val idleMachines = IdleMachines(context, table, staticMachines, options)
    private val overpricedMachines = OverpricedMachines(context, table, staticMachines)

    /** A machine that sends heartbeats but receives nothing for this long is deleted: it can run nothing, and costs. */
    private val unreachableMs = maxOf(leaseMs * UNREACHABLE_LEASES, UNREACHABLE_MIN_MS)

    /** Cordons a few machines that cost too much, and none while tasks wait; [headroomCpus] stay free. */
    fun cordonOverpriced(tasksWait: Boolean, headroomCpus: Double) {
        if (tasksWait) overpricedMachines.uncordonAll() else overpricedMachines.cordonSome(headroomCpus)
    }

    /** Deletes what is of no use any more; true if a request was sent. */
    fun deleteUnneeded(unplaced: List<UnplacedTasks>): Boolean {
        val unneeded = useless() + idle(unplaced)
        if (unneeded.isEmpty() || !cloud.trySpend()) return false
        delete(unneeded.take(MAX_DELETED))
        return true
    }

    private fun useless(): List<Machine> {
        val silent = silentMachines.find()
        val useless = ArrayList(silent)
        for (machine in table.all) {
            if (machine.state == Machine.State.DELETING || machine in silent) continue
            idleMachines.update(machine)
            drainIfFaulty(machine)
            if (isUseless(machine)) useless.add(machine)
        }
        return useless
    }

    /** Idle machines that no task waits for. */
    private fun idle(unplaced: List<UnplacedTasks>): List<Machine> {
        // Work that no machine can take waits for ever if idle machines of other kinds fill the room that the cloud
        // gives.
        val stuck = unplaced.any { tasks -> table.all.none { couldTake(it, tasks.job) } }
        if (unplaced.isNotEmpty() && !stuck) return emptyList()
        return idleMachines
            .expendable(withoutStandby = stuck)
            .filter { machine -> unplaced.none { couldTake(machine, it.job) } }
    }

    private fun drainIfFaulty(machine: Machine) {
        if (machine.failedJobs.size < FAULTY_JOBS || machine.availability.draining) return
        machine.availability.drain()
        context.changed()
        context.info("${machine.name} fails every task and is drained")
    }

    private fun isUseless(machine: Machine): Boolean =
        when {
            machine.cloud.failed && machine.state != Machine.State.UP -> true
            machine.state == Machine.State.LOST -> context.steady - machine.lostAtMs > LOST_MS
            machine.state == Machine.State.BOOTING -> neverCameUp(machine)
            isUnreachable(machine) -> true
            machine.availability.draining -> !machine.busy
            machine.availability.cordoned && machine.state == Machine.State.UP -> machine.isIdle
            machine.availability.hasSpotNotice -> machine.isIdle
            else -> false
        }

    /**
     * A new leader has no heartbeats yet of machines that have long been up: they are given time to find it. An earlier
     * version deleted those that a list named before their first heartbeat came in.
     */
    private fun neverCameUp(machine: Machine): Boolean {
        if (machine.attempts.isNotEmpty()) return false
        if (context.steady - table.takenOverAt <= leaseMs * 2) return false
        val mostBootMs = table.bootS(machine) * MS_PER_S * BOOT_FACTOR + BOOT_SLACK_MS
        return context.steady - machine.cloud.createdAtMs > mostBootMs
    }

    private fun isUnreachable(machine: Machine): Boolean {
        val since = machine.reachability.unreachableSinceMs
        if (machine.state != Machine.State.UP || since == Machine.NEVER) return false
        val now = context.steady
        return now - since > unreachableMs && now - table.takenOverAt > unreachableMs
    }

    private fun couldTake(machine: Machine, job: OpenJob): Boolean {
        val type = table.types.getOrNull(machine.type) ?: return false
        return table.allows(job, machine.type, machine.zone, machine.spot) && job.fitsType(machine.type, type) &&
            !job.backoff.avoids(machine.id, context.steady)
    }

    private fun delete(machines: List<Machine>) {
        machines.forEach(Machine::markDeleting)
        context.info("deleting ${machines.joinToString(" ") { it.name }}")
        cloud.scale(CloudOp.Delete(machines.map { it.name })) { reply ->
            if (reply is CloudReply.Deleted) {
                machines.forEach(table::remove)
            } else {
                // They may or may not be gone: they stay out of use and are deleted again at once.
                machines.forEach { it.markLost(since = context.steady - LOST_MS) }
            }
        }
    }

    private companion object {
        const val UNREACHABLE_LEASES = 3
        const val UNREACHABLE_MIN_MS = 30_000L
        const val LOST_MS = 45_000L

        /** A machine that has not come up after so many times its usual boot time, and some seconds, never will. */
        const val BOOT_FACTOR = 4
        const val BOOT_SLACK_MS = 10_000L

        /** A machine on which so many jobs failed in a row is faulty. */
        const val FAULTY_JOBS = 2
        const val MAX_DELETED = 100
    }
}
