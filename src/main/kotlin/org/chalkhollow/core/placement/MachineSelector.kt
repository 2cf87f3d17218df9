package org.chalkhollow.core.placement

import org.chalkhollow.core.attempts.Allocation
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.fleet.ZoneConstraint
import org.chalkhollow.core.jobs.ServiceLevelObjectives
import org.chalkhollow.settings.OperatorSettings

/**
 * Chooses machines for the tasks of one job (bin packing): best fit first among a sample of those that fit, all of them
 * if the sample has no room. A job's tasks are alike, so each machine is given as many as it has room for. It takes the
 * room off [Machine.roundFreeCapacity]; [PlacementRound] and [Preemption] call it.
 */
class MachineSelector(
    private val context: CoreContext,
    private val fleet: Fleet,
    private val options: OperatorSettings,
    private val objectives: ServiceLevelObjectives,
    private val starvation: StarvationPrevention,
    private val scarceTypes: ScarceMachineTypes,
    private val replicas: Replicas,
) {
    /** Whether [job] may use [machine]; room aside. */
    fun allowed(job: OpenJob, machine: Machine): Boolean =
        fleet.allows(
            job,
            machine.type,
            machine.zone,
            machine.spot,
        ) && !job.backoff.avoids(machine.id, context.steady) &&
            !scarceTypes.reservedFromJob(job, machine.type)

    /** Whether [machine] would have to fetch the job's image. */
    fun fetches(job: OpenJob, machine: Machine): Boolean = job.image >= 0 && job.image !in machine.images

    /** Places all [wanted] tasks of a gang, or gives back whatever it had taken; returns how many it placed. */
    fun placeGang(job: OpenJob, wanted: Int, machines: List<Machine>, out: MutableList<Allocation>): Int {
        val roomBefore = machines.map { it.roundFreeCapacity }
        val sizeBefore = out.size
        if (place(job, wanted, machines, out, skip = 0, heldOnly = false) == wanted) return wanted
        for ((index, machine) in machines.withIndex()) machine.roundFreeCapacity = roomBefore[index]
        while (out.size > sizeBefore) out.removeLast()
        return 0
    }

    /**
     * Places up to [wanted] tasks, after the [skip] that this round has placed already; [heldOnly]: only where the
     * image is. Returns how many it placed.
     */
    fun place(
        job: OpenJob,
        wanted: Int,
        machines: List<Machine>,
        out: MutableList<Allocation>,
        skip: Int,
        heldOnly: Boolean,
    ): Int {
        val zones = ZoneConstraint(job, fleet)
        if (zones.blocked) return 0
        val fitting = fitting(job, machines, heldOnly)
        if (fitting.isEmpty()) return 0
        val candidates = sample(fitting, wanted, job)
        candidates.sortWith(preference)
        if (job.spec.together) zones.chooseZone(candidates)
        val assignment = Assignment(job, zones, skip, out)
        var left = wanted
        // Replicas of one service are spread over machines first, and share machines only for want of others.
        if (job.service) left -= assignment.assign(candidates, left, spread = true)
        left -= assignment.assign(candidates, left, spread = false)
        return wanted - left
    }

    /** Hands the ready tasks of one job out to machines, the first [skip] excepted. */
    private inner class Assignment(
        private val job: OpenJob,
        private val zones: ZoneConstraint,
        skip: Int,
        private val out: MutableList<Allocation>,
    ) {
        private var nextTask = job.tasks.nextReady(0)

        init {
            repeat(skip) { nextTask = job.tasks.nextReady(nextTask + 1) }
        }

        /** Assigns up to [count] tasks; with [spread] only as many to a machine as a service wants there at most. */
        fun assign(machines: List<Machine>, count: Int, spread: Boolean): Int {
            var left = count
            for (machine in machines) {
                if (left == 0) break
                var tasks =
                    minOf(left, job.taskResources.countIn(machine.roundFreeCapacity), zones.roomIn(machine.zone))
                if (spread) tasks = minOf(tasks, replicas.maxPerMachine(job) - replicas.countOn(machine, job))
                if (tasks <= 0) continue
                assignTo(machine, tasks)
                left -= tasks
            }
            return count - left
        }

        private fun assignTo(machine: Machine, count: Int) {
            out.add(Allocation(job, machine, nextTasks(count), starvation.goesFirst(job)))
            zones.addTasks(machine.zone, count)
            machine.roundFreeCapacity = machine.roundFreeCapacity.without(job.taskResources, count)
            if (job.image >= 0) machine.images.add(job.image)
        }

        private fun nextTasks(count: Int): IntArray {
            val tasks = IntArray(count)
            for (position in tasks.indices) {
                tasks[position] = nextTask
                nextTask = job.tasks.nextReady(nextTask + 1)
            }
            return tasks
        }
    }

    private fun fitting(job: OpenJob, machines: List<Machine>, heldOnly: Boolean): ArrayList<Machine> {
        val urgent = objectives.awaitsPromptStart(job)
        val fitting = ArrayList<Machine>()
        for (machine in machines) {
            if (!job.taskResources.fitsIn(machine.roundFreeCapacity) || !allowed(job, machine)) continue
            val fetches = fetches(job, machine)
            if (heldOnly && fetches) continue
            val elsewhereRank = if (scarceTypes.wantedElsewhere(job, machine.type)) WANTED_ELSEWHERE else 0
            machine.roundRank = elsewhereRank + fetchRank(fetches, urgent)
            fitting.add(machine)
        }
        return fitting
    }

    private fun fetchRank(fetches: Boolean, urgent: Boolean): Int =
        when {
            !fetches -> 0
            urgent -> FETCHES_URGENT
            else -> FETCHES
        }

    /**
     * Which of the machines that fit come first: those that no other work has to wait for; for work whose start users
     * wait for, those that hold the image; the smaller types, so that large ones stay whole; then those that hold the
     * image; then the fullest. Cost was tried as a tie-break and did not help, see docs/measurements.md.
     */
    private val preference =
        Comparator<Machine> { first, second ->
            var order = (first.roundRank shr 1).compareTo(second.roundRank shr 1)
            if (order == 0) order = fleet.cpusOf(first).compareTo(fleet.cpusOf(second))
            if (order == 0) order = first.roundRank.compareTo(second.roundRank)
            if (order == 0) order = first.roundFreeCapacity.cpus.compareTo(second.roundFreeCapacity.cpus)
            if (order == 0) order = first.id.compareTo(second.id)
            order
        }

    /**
     * Some of the machines that fit: those that hold the image first, then others, each from a random place on; all of
     * them when the sample has too little room. A sample drawn from all alike would mostly miss the few that hold the
     * image.
     */
    private fun sample(fitting: ArrayList<Machine>, wanted: Int, job: OpenJob): ArrayList<Machine> {
        if (fitting.size <= options.sampleSize) return fitting
        val (holders, others) = fitting.partition { !fetches(job, it) }
        val sample = ArrayList<Machine>(options.sampleSize * 2)
        addSample(holders, sample)
        addSample(others, sample)
        var room = 0
        for (machine in sample) room += job.taskResources.countIn(machine.roundFreeCapacity)
        return if (room >= wanted) sample else fitting
    }

    /** Adds up to the size of a sample of [machines] to [sample], from a random one on. */
    private fun addSample(machines: List<Machine>, sample: MutableList<Machine>) {
        if (machines.isEmpty()) return
        val start = context.random.nextInt(machines.size)
        for (offset in 0 until minOf(machines.size, options.sampleSize)) {
            sample.add(machines[(start + offset) % machines.size])
        }
    }

    private companion object {
        // Ranks, the lower the better. The lowest bit counts after the size of the machine's type, the others before.
        const val FETCHES = 1
        const val FETCHES_URGENT = 3
        const val WANTED_ELSEWHERE = 4
    }
}
