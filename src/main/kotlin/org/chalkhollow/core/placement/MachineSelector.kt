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
 * Chooses machines for the tasks of one job: best fit first among a sample of those that fit, all of them if the sample
 * has no room. A job's tasks are alike, so each machine is given as many as it has room for. It takes the room off
 * [Machine.left]; [PlacementRound] and [Preemption] call it.
 */
class MachineSelector(
    private val context: CoreContext,
    private val fleet: Fleet,
    private val options: OperatorSettings,
    private val objectives: ServiceLevelObjectives,
    private val starvation: StarvationPrevention,
    private val scarce: ScarceMachineTypes,
    private val replicas: Replicas,
) {
    /** Whether [job] may use [m]; room aside. */
    fun allowed(job: OpenJob, m: Machine): Boolean =
        fleet.allows(job, m.type, m.zone, m.spot) && !job.backoff.avoids(m.id, context.steady) &&
            !scarce.sparedFor(job, m.type)

    /** Whether [m] would have to fetch the job's image. */
    fun fetches(job: OpenJob, m: Machine): Boolean = job.image >= 0 && job.image !in m.images

    /** Places all tasks of a gang, or gives back whatever it had taken. */
    fun placeGang(job: OpenJob, want: Int, machines: List<Machine>, out: MutableList<Allocation>): Int {
        val before = machines.map { it.left }
        val size = out.size
        if (place(job, want, machines, out, 0, false) == want) return want
        for ((i, m) in machines.withIndex()) m.left = before[i]
        while (out.size > size) out.removeLast()
        return 0
    }

    /**
     * Places up to [want] tasks, after the [skip] that this round has placed already; [heldOnly]: only where the image
     * is. Returns how many it placed.
     */
    fun place(
        job: OpenJob,
        want: Int,
        machines: List<Machine>,
        out: MutableList<Allocation>,
        skip: Int,
        heldOnly: Boolean,
    ): Int {
        val zones = ZoneConstraint(job, fleet)
        if (zones.blocked) return 0
        val fits = fitting(job, machines, heldOnly)
        if (fits.isEmpty()) return 0
        val ordered = sample(fits, want, job)
        ordered.sortWith(preference)
        if (job.spec.together) zones.chooseZone(ordered)
        var left = want
        var next = job.tasks.nextReady(0)
        repeat(skip) { next = job.tasks.nextReady(next + 1) }
        // Replicas of one service are spread over machines first, and share machines only for want of others.
        val passes = if (job.service) 2 else 1
        for (k in 0 until ordered.size * passes) {
            if (left == 0) break
            val m = ordered[k % ordered.size]
            var n = minOf(left, job.taskResources.countIn(m.left), zones.roomIn(m.zone))
            if (job.service && k < ordered.size) n = minOf(n, replicas.mostOn(job) - replicas.on(m, job))
            if (n <= 0) continue
            val tasks = IntArray(n)
            for (i in 0 until n) {
                tasks[i] = next
                next = job.tasks.nextReady(next + 1)
            }
            out.add(Allocation(job, m, tasks, starvation.goesFirst(job)))
            zones.take(m.zone, n)
            m.left = m.left.without(job.taskResources, n)
            if (job.image >= 0) m.images.add(job.image)
            left -= n
        }
        return want - left
    }

    private fun fitting(job: OpenJob, machines: List<Machine>, heldOnly: Boolean): ArrayList<Machine> {
        val urgent = objectives.awaitsPromptStart(job)
        val fits = ArrayList<Machine>()
        for (m in machines) {
            if (!job.taskResources.fitsIn(m.left) || !allowed(job, m)) continue
            val fetches = fetches(job, m)
            if (heldOnly && fetches) continue
            m.rank = (if (scarce.wantedElsewhere(job, m.type)) WANTED_ELSEWHERE else 0) + fetchRank(fetches, urgent)
            fits.add(m)
        }
        return fits
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
        Comparator<Machine> { a, b ->
            var c = (a.rank shr 1).compareTo(b.rank shr 1)
            if (c == 0) c = fleet.size(a).compareTo(fleet.size(b))
            if (c == 0) c = a.rank.compareTo(b.rank)
            if (c == 0) c = a.left.cpus.compareTo(b.left.cpus)
            if (c == 0) c = a.id.compareTo(b.id)
            c
        }

    /**
     * Some of the machines that fit: those that hold the image first, then others, each from a random place on; all of
     * them when the sample has too little room. A sample drawn from all alike would mostly miss the few that hold the
     * image.
     */
    private fun sample(fits: ArrayList<Machine>, want: Int, job: OpenJob): ArrayList<Machine> {
        if (fits.size <= options.sampleSize) return fits
        val (held, others) = fits.partition { !fetches(job, it) }
        val some = ArrayList<Machine>(options.sampleSize * 2)
        var room = 0
        for (part in listOf(held, others)) {
            if (part.isEmpty()) continue
            val start = context.random.nextInt(part.size)
            val n = minOf(part.size, options.sampleSize)
            for (i in 0 until n) {
                some.add(
                    part[(start + i) % part.size].also {
                        room +=
                            job.taskResources.countIn(it.left)
                    },
                )
            }
        }
        return if (room >= want) some else fits
    }

    private companion object {
        // Ranks, the lower the better. The lowest bit counts after the size of the machine's type, the others before.
        const val FETCHES = 1
        const val FETCHES_URGENT = 3
        const val WANTED_ELSEWHERE = 4
    }
}
