package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CloudOp
import org.chalkhollow.core.common.CloudReply
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.settings.OperatorSettings

/**
 * Owns which machines are deleted: those that failed, did not boot, were lost, fail their tasks, are unresponsive or
 * unreachable, and those that are idle for too long. A machine with tasks is deleted only where the confirmed deletion
 * shows sooner than its lease that they do not run any more. Called by [Fleet].
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
    private val unresponsiveMachines = UnresponsiveMachines(context, table, reachability, leaseMs)
    private val idleMachines = IdleMachines(context, table, staticMachines, options)
    private val overpricedMachines = OverpricedMachines(context, table, staticMachines)

    /**
     * A machine that sends heartbeats but is unreachable for this long is deleted: it can run nothing but still costs.
     */
    private val unreachableAfterMs = maxOf(leaseMs * UNREACHABLE_LEASE_COUNT, UNREACHABLE_MIN_MS)

    /** Cordons a few overpriced machines, keeping [headroomCpus] free; while tasks wait, uncordons all instead. */
    fun cordonOverpriced(hasUnplacedTasks: Boolean, headroomCpus: Double) {
        if (hasUnplacedTasks) overpricedMachines.uncordonAll() else overpricedMachines.cordonSome(headroomCpus)
    }

    /** Deletes machines that are not needed any more; true if a request was sent. */
    fun deleteUnneeded(unplaced: List<UnplacedTasks>): Boolean {
        val unneeded = unusableMachines() + idleMachinesToDelete(unplaced)
        if (unneeded.isEmpty() || !cloud.trySpend()) return false
        delete(unneeded.take(MAX_MACHINES_PER_REQUEST))
        return true
    }

    private fun unusableMachines(): List<Machine> {
        val unresponsive = unresponsiveMachines.find()
        val unusable = ArrayList(unresponsive)
        for (machine in table.all) {
            if (machine.state == Machine.State.DELETING || machine in unresponsive) continue
            idleMachines.update(machine)
            drainIfFaulty(machine)
            if (isUnusable(machine)) unusable.add(machine)
        }
        return unusable
    }

    /** Idle machines that no waiting task could use. */
    private fun idleMachinesToDelete(unplaced: List<UnplacedTasks>): List<Machine> {
        // A job that fits no machine would wait forever if idle machines of other kinds used up the cloud's capacity.
        val isSomeJobStuck = unplaced.any { tasks -> table.all.none { couldRun(it, tasks.job) } }
        if (unplaced.isNotEmpty() && !isSomeJobStuck) return emptyList()
        return idleMachines
            .deletable(withoutStandby = isSomeJobStuck)
            .filter { machine -> unplaced.none { couldRun(machine, it.job) } }
    }

    private fun drainIfFaulty(machine: Machine) {
        if (machine.failedJobs.size < DRAIN_AFTER_FAILED_JOBS || machine.availability.draining) return
        machine.availability.drain()
        context.changed()
        context.info("draining ${machine.name}: tasks of ${machine.failedJobs.size} jobs failed on it in a row")
    }

    private fun isUnusable(machine: Machine): Boolean =
        when {
            machine.cloud.failed && machine.state != Machine.State.UP -> true
            machine.state == Machine.State.LOST -> context.steady - machine.lostAtMs > DELETE_LOST_AFTER_MS
            machine.state == Machine.State.BOOTING -> hasFailedToBoot(machine)
            isUnreachable(machine) -> true
            machine.availability.draining -> !machine.busy
            machine.availability.cordoned && machine.state == Machine.State.UP -> machine.isIdle
            machine.availability.hasSpotNotice -> machine.isIdle
            else -> false
        }

    /**
     * Whether [machine] has not come up in time. A new leader first waits two leases, since machines that have long
     * been up need time to find it. An earlier version deleted machines that were in a list before their first
     * heartbeat came in.
     */
    private fun hasFailedToBoot(machine: Machine): Boolean {
        if (machine.attempts.isNotEmpty()) return false
        if (context.steady - table.termStartedAtMs <= leaseMs * 2) return false
        val maxBootMs = table.bootS(machine) * MS_PER_S * BOOT_FACTOR + BOOT_SLACK_MS
        return context.steady - machine.cloud.createdAtMs > maxBootMs
    }

    private fun isUnreachable(machine: Machine): Boolean {
        val since = machine.reachability.unreachableSinceMs
        if (machine.state != Machine.State.UP || since == Machine.NEVER) return false
        val now = context.steady
        return now - since > unreachableAfterMs && now - table.termStartedAtMs > unreachableAfterMs
    }

    private fun couldRun(machine: Machine, job: OpenJob): Boolean {
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
                // They may or may not be deleted: they stay out of use, and are deleted again at once.
                machines.forEach { it.markLost(since = context.steady - DELETE_LOST_AFTER_MS) }
            }
        }
    }

    private companion object {
        const val UNREACHABLE_LEASE_COUNT = 3
        const val UNREACHABLE_MIN_MS = 30_000L
        const val DELETE_LOST_AFTER_MS = 45_000L

        /**
         * A machine that has not come up after this many times its type's boot time, plus [BOOT_SLACK_MS], never will.
         */
        const val BOOT_FACTOR = 4
        const val BOOT_SLACK_MS = 10_000L

        /** A machine is drained when tasks of this many jobs have failed on it in a row. */
        const val DRAIN_AFTER_FAILED_JOBS = 2
        const val MAX_MACHINES_PER_REQUEST = 100
    }
}
