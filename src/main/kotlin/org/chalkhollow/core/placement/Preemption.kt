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
 * Owns which running tasks are preempted for others. Urgent tasks that can still start in time preempt tasks of lower
 * priority. Tasks within a guarantee preempt tasks of other teams that exceed theirs. A task is preempted only if
 * another task then fits on its machine, and only if it writes checkpoints or was placed recently. Replicas of services
 * preempt other tasks of lower priority, too. Called by [Placement] at the end of a round.
 */
class Preemption(
    private val context: CoreContext,
    private val quotas: Quotas,
    private val fleet: Fleet,
    private val objectives: ServiceLevelObjectives,
    private val order: JobOrder,
    private val selector: MachineSelector,
) {
    /** Machines on which this round requested stops. */
    val preempted = LinkedHashSet<Machine>()

    /** Unplaced tasks, and the reasons why they may preempt others. */
    private class Claim(val tasks: UnplacedTasks, val urgent: Boolean, val withinGuarantee: Boolean) {
        val job: OpenJob get() = tasks.job
    }

    fun begin() = preempted.clear()

    /** Preempts tasks for those that this round left [unplaced]. */
    fun preemptFor(unplaced: List<UnplacedTasks>, placeable: List<Machine>) {
        val machinesWithVictims by lazy(LazyThreadSafetyMode.NONE) { placeable.filter(::hasVictims) }
        for (tasks in unplaced) {
            val claim = claimOf(tasks) ?: continue
            if (tasks.job.service) {
                preemptFor(claim, placeable.filter { hasVictimsForReplica(it, tasks.job) })
                continue
            }
            if (machinesWithVictims.isEmpty()) return
            preemptFor(claim, machinesWithVictims)
        }
    }

    private fun hasVictims(machine: Machine): Boolean = machine.attempts.any { it.stopRequested || isPreemptible(it) }

    private fun hasVictimsForReplica(machine: Machine, service: OpenJob): Boolean =
        machine.attempts.any { it.stopRequested || isPreemptibleByReplica(it, service) }

    private fun claimOf(tasks: UnplacedTasks): Claim? {
        val urgent = objectives.canStartInTime(tasks.job, context.now.wall) && tasks.job.spec.priority <= Priority.HIGH
        val withinGuarantee = order.canMeetGuarantee(tasks.job)
        if (tasks.job.gang || !urgent && !withinGuarantee) return null
        return Claim(tasks, urgent, withinGuarantee)
    }

    /**
     * Preempts tasks of lower priority of the same team for [count] replicas of [job], which would otherwise exceed the
     * team's quota.
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
        var needed = claim.tasks.count - machines.sumOf { job.taskResources.countIn(freeCapacityAfterStops(it)) }
        if (needed <= 0) return
        val victims =
            machines
                .associateWith { machine -> victimsOn(machine, claim) }
                .filterValues { it.isNotEmpty() }
        val imageFirst =
            compareBy<Map.Entry<Machine, List<Attempt>>> { if (selector.needsImageFetch(job, it.key)) 1 else 0 }
        for ((machine, attempts) in victims.entries.sortedWith(imageFirst.thenBy(cheapestFirst) { it.value.first() })) {
            if (needed <= 0) return
            needed -= stopVictims(machine, attempts, job, needed)
        }
    }

    private fun victimsOn(machine: Machine, claim: Claim): List<Attempt> =
        machine.attempts.filter { mayPreempt(claim, it) }.sortedWith(cheapestFirst)

    private fun isUsable(claim: Claim, machine: Machine): Boolean {
        val job = claim.job
        if (!job.service && selector.needsImageFetch(job, machine)) return false
        return selector.isAllowed(job, machine) && claim.tasks.admits(machine.zone)
    }

    private val cheapestFirst =
        compareBy<Attempt>(
            { if (it.job.spec.checkpointS > 0) 0 else 1 },
            { -it.placedAtMs },
            { it.machine.id },
            { it.index },
        )

    /**
     * Stops [victims] on [machine] until [wanted] more tasks of [job] fit there; victims that would not let another
     * task fit are not stopped. Returns how many more tasks fit. An earlier version counted CPUs over all machines: the
     * tasks that it stopped were placed again where they had been, since the capacity freed there was too small for
     * [job].
     */
    private fun stopVictims(machine: Machine, victims: List<Attempt>, job: OpenJob, wanted: Int): Int {
        var freeCapacity = freeCapacityAfterStops(machine)
        var fittingTasks = job.taskResources.countIn(freeCapacity)
        var gainedTasks = 0
        val toStop = ArrayList<Attempt>()
        for (victim in victims) {
            if (gainedTasks >= wanted) break
            toStop.add(victim)
            freeCapacity += victim.job.taskResources
            val fittingTasksNow = job.taskResources.countIn(freeCapacity)
            if (fittingTasksNow == fittingTasks) continue
            gainedTasks += fittingTasksNow - fittingTasks
            fittingTasks = fittingTasksNow
            for (attempt in toStop) attempt.requestStop()
            toStop.clear()
            preempted.add(machine)
        }
        return gainedTasks
    }

    /** The free capacity that this round leaves on [machine], plus that of its tasks that are being stopped. */
    private fun freeCapacityAfterStops(machine: Machine): Resources {
        var freeCapacity = machine.roundFreeCapacity
        for (attempt in machine.attempts) {
            if (attempt.stopRequested && attempt.onMachine) freeCapacity += attempt.job.taskResources
        }
        return freeCapacity
    }

    /** Whether any claim may preempt [attempt], because a stop loses little of its work. */
    private fun isPreemptible(attempt: Attempt): Boolean {
        if (!attempt.onMachine || attempt.stopRequested || attempt.fromCredit) return false
        if (attempt.job.spec.shape != Shape.ARRAY) return false
        val losesLittle = attempt.job.spec.checkpointS > 0 || context.steady - attempt.placedAtMs < RECENT_START_MS
        return losesLittle && !order.isWithinGuarantee(attempt.job)
    }

    /**
     * A replica may preempt any task of an array of lower priority, those that lose least first: users wait for a
     * service as long as its replica does not run.
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
        val hasLowerPriority = attempt.job.spec.priority > job.spec.priority
        return claim.urgent && hasLowerPriority || claim.withinGuarantee && usesBorrowedQuota(job, attempt)
    }

    /** Whether the team of [attempt] exceeds its guarantee, and [job] is another team's and of no lower priority. */
    private fun usesBorrowedQuota(job: OpenJob, attempt: Attempt): Boolean {
        val team = attempt.job.team
        return team != job.team && attempt.job.spec.priority >= job.spec.priority && quotas.exceedsGuarantee(team)
    }

    private companion object {
        /** Stopping a task that was placed within this time costs less than letting others wait. */
        const val RECENT_START_MS = 12_000L
    }
}
