package org.chalkhollow.core.fleet

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CloudOp
import org.chalkhollow.core.common.CloudReply
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.settings.OperatorSettings

/**
 * Owns which machines are given back: what failed, never came up, was lost, is sick, silent, unreachable, or idles. A
 * machine with tasks on it is returned only where a confirmed deletion is the sooner proof that they are gone. Called
 * by [Fleet].
 */
class ScaleIn(
    private val context: CoreContext,
    private val table: MachineTable,
    private val cloud: CloudRequests,
    private val reachability: MachineReachability,
    private val staticMachines: StaticMachines,
    private val options: OperatorSettings,
    private val leaseMs: Long,
) {
    /** A machine that reports but hears nothing for this long is returned: it can run nothing, and costs. */
    private val unreachableMs = maxOf(leaseMs * UNREACHABLE_LEASES, UNREACHABLE_LEAST_MS)
    private var waitedAt = Machine.NEVER
    private var retiredAt = Machine.NEVER

    /** Deletes what is of no use any more; true if a request was sent. */
    fun returnMachines(unplaced: List<UnplacedTasks>): Boolean {
        val t = context.steady
        val out = silent(t)
        for (m in table.all) {
            if (m.state == Machine.State.DELETING || m in out) continue
            noteIdle(m, t)
            setAsideIfSick(m)
            if (useless(m, t)) out.add(m)
        }
        // Work that no machine can take waits for ever if idle machines of other kinds fill the room that the cloud
        // gives.
        val stuck = unplaced.any { u -> table.all.none { couldTake(it, u.job) } }
        if (unplaced.isEmpty() || stuck) {
            out.addAll(idle(t, stuck).filter { m -> unplaced.none { couldTake(m, it.job) } })
        }
        if (out.isEmpty() || !cloud.spend()) return false
        delete(out.take(MAX_DELETED))
        return true
    }

    private fun noteIdle(m: Machine, t: Long) {
        if (!m.vacant || m.state != Machine.State.UP) {
            m.idleSince = Machine.NEVER
        } else if (m.idleSince == Machine.NEVER) {
            m.idleSince = t
        }
    }

    private fun setAsideIfSick(m: Machine) {
        if (m.failedJobs.size < SICK_JOBS || m.draining) return
        m.draining = true
        context.changed()
        context.info("${m.name} fails every task and is set aside")
    }

    /**
     * Machines that the cloud has taken, or that say nothing and do not answer: a deletion that the cloud confirms
     * proves what was on them gone, long before their leases lapse. Where much of a zone is silent it is the network or
     * ourselves, and everything there may be well; those are left to their leases.
     */
    private fun silent(t: Long): ArrayList<Machine> {
        val out = ArrayList<Machine>()
        val up = Int2IntOpenHashMap()
        val overdue = Int2IntOpenHashMap()
        val silent = ArrayList<Machine>()
        for (m in table.all) {
            if (m.state != Machine.State.UP) continue
            up.addTo(m.zone, 1)
            if (reachability.overdue(m)) overdue.addTo(m.zone, 1)
            if (m.noticeAt != Machine.NEVER && t > m.noticeAt + TAKEN_MS) {
                out.add(m)
            } else if (m.busy && reachability.silent(m)) {
                silent.add(m)
            }
        }
        if (t - table.takenOverAt < leaseMs) return out
        silent.filterTo(out) { overdue.get(it.zone) * SILENT_OF < up.get(it.zone) }
        return out
    }

    /**
     * When little is asked for, tasks spread thinly over machines that cost more than their like can be had for. A few
     * at a time those stop taking tasks, run dry and go; as soon as anything waits they are back in use.
     */
    fun retire(waits: Boolean, headroomCpus: Double) {
        val t = context.steady
        if (waits) {
            waitedAt = t
            for (m in table.all) m.cordoned = false
            return
        }
        if (t - waitedAt < CALM_MS || t - retiredAt < RETIRE_EVERY_MS) return
        val dear =
            table
                .placeable()
                .filter(::dearerThanItsLike)
                .map { it to it.room(table.types).cpus }
                .sortedByDescending { it.second }
        if (dear.isEmpty()) return
        var free = table.placeable().sumOf { it.room(table.types).cpus }
        for ((m, room) in dear.take(maxOf(1, dear.size / RETIRED_OF))) {
            free -= room
            if (free < headroomCpus * RESERVES_KEPT) return
            m.cordoned = true
            retiredAt = t
        }
    }

    private fun dearerThanItsLike(m: Machine): Boolean {
        val type = table.types.getOrNull(m.type) ?: return false
        // A replica never ends, so a machine that has one would never run dry.
        return m.name !in staticMachines.names && m.attempts.none { it.job.service } &&
            table.priceOf(m.type, m.spot) > minOf(type.price, type.spotPrice)
    }

    private fun useless(m: Machine, t: Long): Boolean =
        when {
            m.failed && m.state != Machine.State.UP -> true
            m.state == Machine.State.LOST -> t - m.lostAt > LOST_MS
            m.state == Machine.State.BOOTING -> neverCameUp(m, t)
            unreachable(m, t) -> true
            m.draining -> !m.busy
            m.cordoned && m.state == Machine.State.UP -> m.vacant
            m.noticeAt != Machine.NEVER -> m.vacant
            else -> false
        }

    /**
     * A new leader has not heard from machines that have long been up: they are given time to find it. An earlier
     * version returned those that a list named before their first report came in.
     */
    private fun neverCameUp(m: Machine, t: Long): Boolean =
        m.attempts.isEmpty() && t - m.bornAt > table.bootS(m) * MS_PER_S * BOOT_FACTOR + BOOT_SLACK_MS &&
            t - table.takenOverAt > leaseMs * 2

    private fun unreachable(m: Machine, t: Long): Boolean {
        if (m.state != Machine.State.UP || m.unreachableSince == Machine.NEVER) return false
        return t - m.unreachableSince > unreachableMs && t - table.takenOverAt > unreachableMs
    }

    /**
     * Machines that have idled for too long, the dearest first. The operator's own machines stay, and rented ones may
     * idle beside them while they cost less than [OperatorSettings.standbyShare] of what those do.
     */
    private fun idle(t: Long, stuck: Boolean): List<Machine> {
        val idle = table.all.filter { idles(it) && it.name !in staticMachines.names }
        val long =
            idle
                .filter {
                    t - it.idleSince >
                        idleAllowedMs(
                            it,
                        )
                }.sortedByDescending { table.priceOf(it.type, it.spot) }
        if (long.isEmpty()) return emptyList()
        var standby = if (stuck) 0.0 else options.standbyShare * preProvisionedPrice()
        val out = ArrayList<Machine>()
        for (m in long.reversed()) {
            standby -= table.priceOf(m.type, m.spot)
            if (standby < 0) out.add(m)
        }
        return out.take(maxOf(0, idle.size - options.spareMachines))
    }

    private fun idles(m: Machine): Boolean = m.state == Machine.State.UP && m.idleSince != Machine.NEVER && !m.draining

    private fun preProvisionedPrice(): Double =
        table.all.filter { it.name in staticMachines.names }.sumOf { table.priceOf(it.type, it.spot) }

    private fun couldTake(m: Machine, job: OpenJob): Boolean {
        val type = table.types.getOrNull(m.type) ?: return false
        return table.allows(job, m.type, m.zone, m.spot) && job.fitsType(m.type, type) &&
            !job.backoff.avoids(m.id, context.steady)
    }

    /** The dearer a machine is, compared with the cheapest way to have its like, the sooner it goes. */
    private fun idleAllowedMs(m: Machine): Double {
        val allowedMs = options.idleReturnS * MS_PER_S
        val type = table.types.getOrNull(m.type) ?: return allowedMs
        val cheapest = minOf(type.price, type.spotPrice)
        val price = table.priceOf(m.type, m.spot)
        return allowedMs * (if (price > 0) minOf(1.0, cheapest / price) else 1.0)
    }

    private fun delete(list: List<Machine>) {
        for (m in list) m.state = Machine.State.DELETING
        context.info("returning ${list.joinToString(" ") { it.name }}")
        cloud.change(CloudOp.Delete(list.map { it.name })) { reply ->
            if (reply is CloudReply.Deleted) {
                list.forEach(table::remove)
                return@change
            }
            // Without a 200 they may or may not be gone: they stay out of use and are asked for again.
            for (m in list) {
                m.state = Machine.State.LOST
                m.expiredEpoch = maxOf(m.epoch, m.expiredEpoch)
                m.lostAt = context.steady - LOST_MS
            }
        }
    }

    private companion object {
        const val UNREACHABLE_LEASES = 3
        const val UNREACHABLE_LEAST_MS = 30_000L
        const val LOST_MS = 45_000L

        /** A machine that has not come up after so many times its usual boot time, and some seconds, never will. */
        const val BOOT_FACTOR = 4
        const val BOOT_SLACK_MS = 10_000L
        const val SICK_JOBS = 2

        /** This long after the announced moment a machine is taken for taken. */
        const val TAKEN_MS = 1000L

        /** Silence of less than one in this many of a zone's machines is their own. */
        const val SILENT_OF = 3
        const val CALM_MS = 3000L
        const val RETIRE_EVERY_MS = 1500L
        const val RETIRED_OF = 15
        const val RESERVES_KEPT = 2.0
        const val MAX_DELETED = 100
    }
}
