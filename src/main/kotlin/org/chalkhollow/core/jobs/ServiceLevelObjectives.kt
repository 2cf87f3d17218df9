package org.chalkhollow.core.jobs

import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.settings.Objective

/**
 * What the settings say of how soon classes of jobs should start and finish. A class may have several objectives of a
 * kind, such as most starts within seconds and nearly all within a minute or two: when the first is missed the next
 * still counts. An earlier version kept one of each kind, and took a class that may wait for minutes for one whose
 * users wait for starts.
 */
class ServiceLevelObjectives(objectives: List<Objective>, private val leastBootMs: () -> Long) {
    private val starts = HashMap<String, LongArray>()
    private val finishes = HashMap<String, LongArray>()
    private val deadlines = HashMap<String, DoubleArray>()
    private var guaranteeWithin = 0L

    init {
        for (o in objectives) if (o.kind == "guarantee") guaranteeWithin = ((o.withinS ?: 0.0) * MS_PER_S).toLong()
        for ((workload, some) in objectives.filter { it.workload != null }.groupBy { it.workload.orEmpty() }) {
            fun within(kind: String) =
                some
                    .filter { it.kind == kind }
                    .mapNotNull { it.withinS }
                    .map { (it * MS_PER_S).toLong() }
                    .sorted()
                    .toLongArray()
            starts[workload] = within("wait")
            finishes[workload] = within("finished")
            deadlines[workload] =
                some
                    .filter { it.kind == "deadline" }
                    .map { it.times }
                    .sorted()
                    .toDoubleArray()
        }
    }

    /**
     * Whether users of this class wait for its tasks to start, as they do for a service's replicas: sooner than a
     * machine can be had for them, so that room has to be there already.
     */
    fun awaitsPromptStart(job: OpenJob): Boolean =
        job.service || (starts[job.spec.workload]?.firstOrNull() ?: return false) < leastBootMs()

    /**
     * Whether tasks of such a class, or replicas of a service, that start now are still in time for its last aim on
     * starting. Ending with the first of them put what had just come before what had waited for seconds, and half a
     * flood of urgent work was late that need not be.
     */
    fun canStartInTime(job: OpenJob, wall: Long): Boolean =
        job.service ||
            awaitsPromptStart(job) && wall < job.acceptedWall + (starts[job.spec.workload]?.last() ?: return false)

    /** Whether most of the time that the class's tasks may wait for their start is over, and not all of it. */
    fun startDeadlineNear(job: OpenJob, wall: Long): Boolean {
        val waited = wall - job.acceptedWall
        return starts[job.spec.workload]?.any {
            it >= leastBootMs() && waited < it && waited * WAITED_OF >= it * WAITED
        }
            ?: false
    }

    /** Whether tasks within a guarantee that start now are still in time. */
    fun guaranteeStartsInTime(job: OpenJob, wall: Long): Boolean = wall < job.acceptedWall + guaranteeWithin

    /**
     * When the job should be over, by its owner's deadline and its class's objectives: the first moment that can still
     * be kept when it needs [leastMs] from [wall] on, the last one when none can; [Long.MAX_VALUE] if nobody says, and
     * for a service, which is never over.
     */
    fun dueWall(job: OpenJob, wall: Long, leastMs: Long): Long {
        if (job.service) return Long.MAX_VALUE
        var due = Long.MAX_VALUE
        var last = Long.MIN_VALUE

        fun consider(at: Long) {
            last = maxOf(last, at)
            if (wall + leastMs <= at) due = minOf(due, at)
        }
        job.spec.dueS?.let { s ->
            val times = deadlines[job.spec.workload] ?: ONCE
            for (t in if (times.isEmpty()) ONCE else times) consider(job.acceptedWall + (s * t * MS_PER_S).toLong())
        }
        finishes[job.spec.workload]?.let { for (within in it) consider(job.acceptedWall + within) }
        return if (due != Long.MAX_VALUE || last == Long.MIN_VALUE) due else last
    }

    private companion object {
        const val WAITED = 1
        const val WAITED_OF = 2
        val ONCE = doubleArrayOf(1.0)
    }
}
