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
 * Chooses machines for the tasks of one job (bin packing): best fit among a sample of the machines that fit, or among
 * all of them if the sample has too little free capacity. The tasks of a job have the same resource demand, so each
 * machine gets as many as fit. What it allocates is subtracted from [Machine.roundFreeCapacity]. Called by
 * [PlacementRound] and [Preemption].
 */
class MachineSelector(
    private val context: CoreContext,
    private val fleet: Fleet,
    private val options: OperatorSettings,
    private val objectives: ServiceLevelObjectives,
    private val starvation: StarvationPrevention,
    private val scarceTypes: ScarceMachineTypes,
    private val replicaPlacement: ReplicaPlacement,
) {
    /** Whether [job] may use [machine], whatever its free capacity. */
    fun isAllowed(job: OpenJob, machine: Machine): Boolean =
        fleet.allows(
            job,
            machine.type,
            machine.zone,
            machine.spot,
        ) && !job.backoff.avoids(machine.id, context.steady) &&
            !scarceTypes.isReservedForOthers(job, machine.type)

    /** Whether [machine] would have to fetch the job's image. */
    fun needsImageFetch(job: OpenJob, machine: Machine): Boolean = job.image >= 0 && job.image !in machine.images

    /** Places either all [wanted] tasks of a gang or none; returns how many it placed. */
    fun placeGang(job: OpenJob, wanted: Int, machines: List<Machine>, allocations: MutableList<Allocation>): Int {
        val freeCapacityBefore = machines.map { it.roundFreeCapacity }
        val allocationsBefore = allocations.size
        if (place(job, wanted, machines, allocations, skip = 0, cachedImageOnly = false) == wanted) return wanted
        for ((index, machine) in machines.withIndex()) machine.roundFreeCapacity = freeCapacityBefore[index]
        while (allocations.size > allocationsBefore) allocations.removeLast()
        return 0
    }

    /**
     * Places up to [wanted] ready tasks after the first [skip], which this round has placed already; with
     * [cachedImageOnly] only on machines that have the image. Returns how many it placed.
     */
    fun place(
        job: OpenJob,
        wanted: Int,
        machines: List<Machine>,
        allocations: MutableList<Allocation>,
        skip: Int,
        cachedImageOnly: Boolean,
    ): Int {
        val zones = ZoneConstraint(job, fleet)
        if (zones.isBlocked) return 0
        val fitting = fitting(job, machines, cachedImageOnly)
        if (fitting.isEmpty()) return 0
        val candidates = sample(fitting, wanted, job)
        candidates.sortWith(preference)
        if (job.spec.together) zones.chooseZone(candidates)
        val assignment = Assignment(job, zones, skip, allocations)
        var left = wanted
        // Replicas of a service exceed the maximum per machine only if no other machine fits them.
        if (job.service) left -= assignment.assign(candidates, left, spread = true)
        left -= assignment.assign(candidates, left, spread = false)
        return wanted - left
    }

    /** Assigns the ready tasks of one job to machines, except the first [skip]. */
    private inner class Assignment(
        private val job: OpenJob,
        private val zones: ZoneConstraint,
        skip: Int,
        private val allocations: MutableList<Allocation>,
    ) {
        private var nextTask = job.tasks.nextReady(0)

        init {
            repeat(skip) { nextTask = job.tasks.nextReady(nextTask + 1) }
        }

        /**
         * Assigns up to [count] tasks; with [spread] each machine gets at most [ReplicaPlacement.maxPerMachine]
         * replicas. Returns how many it assigned.
         */
        fun assign(machines: List<Machine>, count: Int, spread: Boolean): Int {
            var left = count
            for (machine in machines) {
                if (left == 0) break
                var tasks =
                    minOf(left, job.taskResources.countIn(machine.roundFreeCapacity), zones.maxNewTasksIn(machine.zone))
                if (spread) {
                    tasks = minOf(tasks, replicaPlacement.maxPerMachine(job) - replicaPlacement.countOn(machine, job))
                }
                if (tasks <= 0) continue
                assignTo(machine, tasks)
                left -= tasks
            }
            return count - left
        }

        private fun assignTo(machine: Machine, count: Int) {
            allocations.add(Allocation(job, machine, nextTasks(count), starvation.isServedFirst(job)))
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

    private fun fitting(job: OpenJob, machines: List<Machine>, cachedImageOnly: Boolean): ArrayList<Machine> {
        val urgent = objectives.awaitsPromptStart(job)
        val fitting = ArrayList<Machine>()
        for (machine in machines) {
            if (!job.taskResources.fitsIn(machine.roundFreeCapacity) || !isAllowed(job, machine)) continue
            val needsFetch = needsImageFetch(job, machine)
            if (cachedImageOnly && needsFetch) continue
            val neededByOthersRank = if (scarceTypes.isNeededByOthers(job, machine.type)) RANK_NEEDED_BY_OTHERS else 0
            machine.roundRank = neededByOthersRank + fetchRank(needsFetch, urgent)
            fitting.add(machine)
        }
        return fitting
    }

    private fun fetchRank(needsFetch: Boolean, urgent: Boolean): Int =
        when {
            !needsFetch -> 0
            urgent -> RANK_FETCH_FOR_URGENT
            else -> RANK_FETCH
        }

    /**
     * Order of preference among machines that fit:
     * 1. types that no other job needs;
     * 2. for jobs whose users wait for the start, machines that have the image;
     * 3. smaller types, so that large machines stay free for large tasks;
     * 4. machines that have the image;
     * 5. the fullest machines.
     *
     * Cost as a tie-break did not help, see docs/measurements.md.
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
     * A sample of the machines that fit: first machines that have the image, then others, each group from a random
     * start on. Returns all of [fitting] if the sample has too little free capacity for [wanted] tasks. A sample drawn
     * evenly from all machines would mostly miss the few that have the image.
     */
    private fun sample(fitting: ArrayList<Machine>, wanted: Int, job: OpenJob): ArrayList<Machine> {
        if (fitting.size <= options.sampleSize) return fitting
        val (withImage, withoutImage) = fitting.partition { !needsImageFetch(job, it) }
        val sample = ArrayList<Machine>(options.sampleSize * 2)
        addSample(withImage, sample)
        addSample(withoutImage, sample)
        var fittingTasks = 0
        for (machine in sample) fittingTasks += job.taskResources.countIn(machine.roundFreeCapacity)
        return if (fittingTasks >= wanted) sample else fitting
    }

    /** Adds up to [OperatorSettings.sampleSize] of [machines] to [sample], from a random one on. */
    private fun addSample(machines: List<Machine>, sample: MutableList<Machine>) {
        if (machines.isEmpty()) return
        val start = context.random.nextInt(machines.size)
        for (offset in 0 until minOf(machines.size, options.sampleSize)) {
            sample.add(machines[(start + offset) % machines.size])
        }
    }

    private companion object {
        // Lower ranks are better. The lowest bit is compared after the size of the machine type, the others before it.
        const val RANK_FETCH = 1
        const val RANK_FETCH_FOR_URGENT = 3
        const val RANK_NEEDED_BY_OTHERS = 4
    }
}
