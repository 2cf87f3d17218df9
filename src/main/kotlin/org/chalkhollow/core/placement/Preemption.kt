package org.chalkhollow.core.placement

import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.fleet.UnplacedTasks
import org.chalkhollow.core.jobs.Quotas
import org.chalkhollow.core.jobs.ServiceLevelObjectives
import org.chalkhollow.model.Priority
import org.chalkhollow.model.Resources
import org.chalkhollow.model.Shape

/**
 * Owns which running tasks are stopped to make room for others: for urgent tasks whose start is still in time, work of
 * lower priority; for tasks within a guarantee, what other teams run beyond theirs. Only what makes room for a task on
 * the machine where it runs is stopped, and only what saves its progress or has hardly begun; replicas of services also
 * take the place of other work of lower priority. Called by [Placement] at the end of a round.
 */
class Preemption(
    private val context: CoreContext,
    private val quotas: Quotas,
    private val fleet: Fleet,
    private val objectives: ServiceLevelObjectives,
    private val order: JobOrder,
    private val choice: MachineSelector,
) {
    /** Machines on which this round decided to stop tasks. */
    val preempted = LinkedHashSet<Machine>()

    /** Tasks that wait for room, and what entitles them to that of others. */
    private class Claim(val tasks: UnplacedTasks, val urgent: Boolean, val fromCredit: Boolean) {
        val job: OpenJob get() = tasks.job
    }

    fun begin() = preempted.clear()

    /** Makes room for what this round has [left] unplaced. */
    fun makeRoom(left: List<UnplacedTasks>, placeable: List<Machine>) {
        var places: List<Machine>? = null
        for (u in left) {
            val claim = claimOf(u) ?: continue
            if (u.job.service) {
                val some = placeable.filter { m -> m.attempts.any { it.stopRequested || yieldsTo(it, u.job) } }
                makeRoom(claim, some)
                continue
            }
            val some =
                places
                    ?: placeable
                        .filter { m ->
                            m.attempts.any { it.stopRequested || stoppable(it) }
                        }.also { places = it }
            if (some.isEmpty()) return
            makeRoom(claim, some)
        }
    }

    private fun claimOf(u: UnplacedTasks): Claim? {
        val urgent = objectives.canStartInTime(u.job, context.now.wall) && u.job.spec.priority <= Priority.HIGH
        val fromCredit = order.freshGuarantee(u.job)
        return if (u.job.gang || !urgent && !fromCredit) null else Claim(u, urgent, fromCredit)
    }

    /** Work of lower priority of its own team gives way to replicas that the team's limit would keep from running. */
    fun makeRoomWithinLimit(job: OpenJob, count: Int) {
        var need = count * job.taskResources.cpus
        val victims = ArrayList<Attempt>()
        for (m in fleet.machines) {
            for (a in m.attempts) {
                if (a.job.team != job.team) continue
                if (a.stopRequested && a.onMachine) {
                    need -= a.job.taskResources.cpus
                } else if (yieldsTo(a, job)) {
                    victims.add(a)
                }
            }
        }
        victims.sortWith(cheapestFirst)
        for (a in victims) {
            if (need <= Resources.EPSILON) return
            a.requestStop()
            need -= a.job.taskResources.cpus
            preempted.add(a.machine)
        }
    }

    private fun makeRoom(claim: Claim, candidates: List<Machine>) {
        val job = claim.job
        val places = candidates.filter { usable(claim, it) }
        var need = claim.tasks.count - places.sumOf { job.taskResources.countIn(roomAfterStops(it)) }
        if (need <= 0) return
        val victims =
            places
                .associateWith { m -> m.attempts.filter { mayStop(it, claim) }.sortedWith(cheapestFirst) }
                .filterValues { it.isNotEmpty() }
        val heldFirst = compareBy<Map.Entry<Machine, List<Attempt>>> { if (choice.fetches(job, it.key)) 1 else 0 }
        for ((m, some) in victims.entries.sortedWith(heldFirst.thenBy(cheapestFirst) { it.value.first() })) {
            if (need <= 0) return
            need -= stopOn(m, some, job, need)
        }
    }

    private fun usable(claim: Claim, m: Machine): Boolean {
        val job = claim.job
        return (job.service || !choice.fetches(job, m)) && choice.allowed(job, m) && claim.tasks.admits(m.zone)
    }

    private val cheapestFirst =
        compareBy<Attempt>(
            { if (it.job.spec.checkpointS > 0) 0 else 1 },
            { -it.placedAt },
            { it.machine.id },
            { it.index },
        )

    /**
     * Stops as many of [victims] on [m] as make room there for tasks of [job], and none that do not: an earlier version
     * counted CPUs over all machines, so what was stopped went back to where it had been, since the room was too small
     * for the other.
     */
    private fun stopOn(m: Machine, victims: List<Attempt>, job: OpenJob, most: Int): Int {
        var room = roomAfterStops(m)
        var fitting = job.taskResources.countIn(room)
        var made = 0
        val pending = ArrayList<Attempt>()
        for (v in victims) {
            if (made >= most) break
            pending.add(v)
            room += v.job.taskResources
            val now = job.taskResources.countIn(room)
            if (now == fitting) continue
            made += now - fitting
            fitting = now
            for (p in pending) p.requestStop()
            pending.clear()
            preempted.add(m)
        }
        return made
    }

    /** The room that this round leaves on [m], and what its tasks that are being stopped will leave. */
    private fun roomAfterStops(m: Machine): Resources {
        var room = m.left
        for (a in m.attempts) if (a.stopRequested && a.onMachine) room += a.job.taskResources
        return room
    }

    /** Whether little is lost by stopping [a], whatever for. */
    private fun stoppable(a: Attempt): Boolean {
        if (!a.onMachine || a.stopRequested || a.fromCredit) return false
        if (a.job.spec.shape != Shape.ARRAY) return false
        val losesLittle = a.job.spec.checkpointS > 0 || context.steady - a.placedAt < YOUNG_MS
        return losesLittle && !order.withinGuarantee(a.job)
    }

    /**
     * For a replica any task of lower priority gives way, those that lose least first: who asks for a service waits for
     * it all along.
     */
    private fun yieldsTo(a: Attempt, by: OpenJob): Boolean {
        if (!a.onMachine || a.stopRequested) return false
        return !a.job.service && !a.job.gang && a.job.spec.priority > by.spec.priority
    }

    private fun mayStop(a: Attempt, claim: Claim): Boolean {
        val by = claim.job
        if (by.service && yieldsTo(a, by)) return true
        if (!stoppable(a)) return false
        val lower = claim.urgent && a.job.spec.priority > by.spec.priority
        return lower || claim.fromCredit && borrows(a, by)
    }

    /** Whether [a] runs on what its team has beyond its guarantee, and [by] is another's and no less urgent. */
    private fun borrows(a: Attempt, by: OpenJob): Boolean =
        a.job.team != by.team && a.job.spec.priority >= by.spec.priority && quotas.exceedsGuarantee(a.job.team)

    private companion object {
        /** Less is lost by stopping a task that began this short a time ago than by letting others wait. */
        const val YOUNG_MS = 12_000L
    }
}
