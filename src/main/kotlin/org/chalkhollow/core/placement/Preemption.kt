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
 * Owns which running tasks are preempted for others: for urgent tasks whose start is still in time, work of lower
 * priority; for tasks within a guarantee, what other teams run beyond theirs. A task is preempted only if that makes
 * room for another on its machine, and only if it writes checkpoints or has hardly begun; replicas of services also
 * preempt other work of lower priority. Called by [Placement] at the end of a round.
 */
class Preemption(
    private val context: CoreContext,
    private val quotas: Quotas,
    private val fleet: Fleet,
    private val objectives: ServiceLevelObjectives,
    private val order: JobOrder,
    private val selector: MachineSelector,
) {
    /** Machines on which this round decided to stop tasks. */
    val preempted = LinkedHashSet<Machine>()

    /** Tasks that wait for room, and what entitles them to that of others. */
    private class Claim(val tasks: UnplacedTasks, val urgent: Boolean, val withinGuarantee: Boolean) {
        val job: OpenJob get() = tasks.job
    }

    fun begin() = preempted.clear()

    /** Preempts for what this round has left [unplaced]. */
    fun preemptFor(unplaced: List<UnplacedTasks>, placeable: List<Machine>) {
        val withVictims by lazy(LazyThreadSafetyMode.NONE) { placeable.filter(::hasVictims) }
        for (tasks in unplaced) {
            val claim = claimOf(tasks) ?: continue
            if (tasks.job.service) {
                preemptFor(claim, placeable.filter { hasVictimsOfReplica(it, tasks.job) })
                continue
            }
            if (withVictims.isEmpty()) return
            preemptFor(claim, withVictims)
        }
    }

    private fun hasVictims(machine: Machine): Boolean = machine.attempts.any { it.stopRequested || isPreemptible(it) }

    private fun hasVictimsOfReplica(machine: Machine, service: OpenJob): Boolean =
        machine.attempts.any { it.stopRequested || isPreemptibleByReplica(it, service) }

    private fun claimOf(tasks: UnplacedTasks): Claim? {
        val urgent = objectives.canStartInTime(tasks.job, context.now.wall) && tasks.job.spec.priority <= Priority.HIGH
        val withinGuarantee = order.freshGuarantee(tasks.job)
        if (tasks.job.gang || !urgent && !withinGuarantee) return null
        return Claim(tasks, urgent, withinGuarantee)
    }

    /**
     * Preempts work of lower priority of its own team for [count] replicas of [job] that the team's quota would keep
     * from running.
     */
    fun preemptWithinQuota(job: OpenJob, count: Int) {
        var neededCpus = count * job.taskResources.cpus
        val victims = ArrayList<Attempt>()
        for (machine in fleet.machines) {
            for (attempt in machine.attempts) {
                if (attempt.job.team != job.team) continue
                if (attempt.stopRequested && attempt.onMachine) {
                    neededCpus -= attempt.job.taskResources.cpus
                } else if (isPreemptibleByReplica(attempt, job)) {
                    victims.add(attempt)
                }
            }
        }
        victims.sortWith(cheapestFirst)
        for (victim in victims) {
            if (neededCpus <= Resources.EPSILON) return
            victim.requestStop()
            neededCpus -= victim.job.taskResources.cpus
            preempted.add(victim.machine)
        }
    }

    private fun preemptFor(claim: Claim, candidates: List<Machine>) {
        val job = claim.job
        val machines = candidates.filter { isUsable(claim, it) }
        var needed = claim.tasks.count - machines.sumOf { job.taskResources.countIn(roomAfterStops(it)) }
        if (needed <= 0) return
        val victims =
            machines
                .associateWith { machine -> victimsOn(machine, claim) }
                .filterValues { it.isNotEmpty() }
        val heldFirst = compareBy<Map.Entry<Machine, List<Attempt>>> { if (selector.fetches(job, it.key)) 1 else 0 }
        for ((machine, attempts) in victims.entries.sortedWith(heldFirst.thenBy(cheapestFirst) { it.value.first() })) {
            if (needed <= 0) return
            needed -= stopOn(machine, attempts, job, needed)
        }
    }

    private fun victimsOn(machine: Machine, claim: Claim): List<Attempt> =
        machine.attempts.filter { mayPreempt(claim, it) }.sortedWith(cheapestFirst)

    private fun isUsable(claim: Claim, machine: Machine): Boolean {
        val job = claim.job
        if (!job.service && selector.fetches(job, machine)) return false
        return selector.allowed(job, machine) && claim.tasks.admits(machine.zone)
    }

    private val cheapestFirst =
        compareBy<Attempt>(
            { if (it.job.spec.checkpointS > 0) 0 else 1 },
            { -it.placedAtMs },
            { it.machine.id },
            { it.index },
        )

    /**
     * Stops as many of [victims] on [machine] as make room there for tasks of [job], at most [wanted], and none that do
     * not; returns for how many tasks. An earlier version counted CPUs over all machines, so what was stopped went back
     * to where it had been, since the room was too small for the other.
     */
    private fun stopOn(machine: Machine, victims: List<Attempt>, job: OpenJob, wanted: Int): Int {
        var room = roomAfterStops(machine)
        var fitting = job.taskResources.countIn(room)
        var gained = 0
        val pending = ArrayList<Attempt>()
        for (victim in victims) {
            if (gained >= wanted) break
            pending.add(victim)
            room += victim.job.taskResources
            val fittingNow = job.taskResources.countIn(room)
            if (fittingNow == fitting) continue
            gained += fittingNow - fitting
            fitting = fittingNow
            for (attempt in pending) attempt.requestStop()
            pending.clear()
            preempted.add(machine)
        }
        return gained
    }

    /** The room that this round leaves on [machine], and what its tasks that are being stopped will leave. */
    private fun roomAfterStops(machine: Machine): Resources {
        var room = machine.roundFreeCapacity
        for (attempt in machine.attempts) {
            if (attempt.stopRequested && attempt.onMachine) room += attempt.job.taskResources
        }
        return room
    }

    /** Whether little is lost by stopping [attempt], whatever for. */
    private fun isPreemptible(attempt: Attempt): Boolean {
        if (!attempt.onMachine || attempt.stopRequested || attempt.fromCredit) return false
        if (attempt.job.spec.shape != Shape.ARRAY) return false
        val losesLittle = attempt.job.spec.checkpointS > 0 || context.steady - attempt.placedAtMs < YOUNG_MS
        return losesLittle && !order.withinGuarantee(attempt.job)
    }

    /**
     * A replica may preempt any task of lower priority, those that lose least first: who asks for a service waits for
     * it all along.
     */
    private fun isPreemptibleByReplica(attempt: Attempt, service: OpenJob): Boolean {
        if (!attempt.onMachine || attempt.stopRequested) return false
        if (attempt.job.service || attempt.job.gang) return false
        return attempt.job.spec.priority > service.spec.priority
    }

    private fun mayPreempt(claim: Claim, attempt: Attempt): Boolean {
        val job = claim.job
        if (job.service && isPreemptibleByReplica(attempt, job)) return true
        if (!isPreemptible(attempt)) return false
        val isLower = attempt.job.spec.priority > job.spec.priority
        return claim.urgent && isLower || claim.withinGuarantee && borrowsFrom(job, attempt)
    }

    /** Whether [attempt] runs on what its team has beyond its guarantee, and [job] is another's and no less urgent. */
    private fun borrowsFrom(job: OpenJob, attempt: Attempt): Boolean {
        val team = attempt.job.team
        return team != job.team && attempt.job.spec.priority >= job.spec.priority && quotas.exceedsGuarantee(team)
    }

    private companion object {
        /** Less is lost by stopping a task that began this short a time ago than by letting others wait. */
        const val YOUNG_MS = 12_000L
    }
}
