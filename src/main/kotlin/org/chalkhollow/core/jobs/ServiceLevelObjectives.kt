package org.chalkhollow.core.jobs

import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.settings.Objective

/**
 * What the settings say of how soon classes of jobs should start and finish. A class may have several objectives of a
 * kind, such as most starts within seconds and nearly all within a minute or two: when the first is missed the next
 * still counts. An earlier version kept one of each kind, and took a class that may wait for minutes for one whose
 * users wait for starts. It never changes; read by placement.
 */
class ServiceLevelObjectives(objectives: List<Objective>, private val leastBootMs: () -> Long) {
    /** Within how many milliseconds of acceptance tasks should start, ascending, by class. */
    private val startWithinMs = HashMap<String, LongArray>()

    /** Within how many milliseconds of acceptance jobs should be over, ascending, by class. */
    private val finishWithinMs = HashMap<String, LongArray>()

    /** Multiples of the owner's time within which jobs should be over, ascending, by class. */
    private val deadlineFactors = HashMap<String, DoubleArray>()
    private var guaranteeWithinMs = 0L

    init {
        for (objective in objectives) {
            if (objective.kind == KIND_GUARANTEE) guaranteeWithinMs = millis(objective.withinS ?: 0.0)
        }
        val ofClasses = objectives.filter { it.workload != null }
        for ((workload, ofClass) in ofClasses.groupBy { it.workload.orEmpty() }) {
            startWithinMs[workload] = limitsMs(ofClass, KIND_START)
            finishWithinMs[workload] = limitsMs(ofClass, KIND_FINISH)
            val deadlines = ofClass.filter { it.kind == KIND_DEADLINE }
            deadlineFactors[workload] = deadlines.map { it.times }.sorted().toDoubleArray()
        }
    }

    private fun limitsMs(objectives: List<Objective>, kind: String): LongArray {
        val ofKind = objectives.filter { it.kind == kind }
        return ofKind
            .mapNotNull { it.withinS }
            .map(::millis)
            .sorted()
            .toLongArray()
    }

    /**
     * Whether users of this class wait for its tasks to start, as they do for a service's replicas: sooner than a
     * machine can be had for them, so that room has to be there already.
     */
    fun awaitsPromptStart(job: OpenJob): Boolean {
        if (job.service) return true
        val limits = startWithinMs[job.spec.workload] ?: return false
        return limits.isNotEmpty() && limits.first() < leastBootMs()
    }

    /**
     * Whether tasks of such a class, or replicas of a service, that start now are still in time for its last objective
     * on starting. Ending with the first of them put what had just come before what had waited for seconds, and half a
     * flood of urgent work was late that need not be.
     */
    fun canStartInTime(job: OpenJob, wall: Long): Boolean {
        if (job.service) return true
        if (!awaitsPromptStart(job)) return false
        val limits = startWithinMs[job.spec.workload] ?: return false
        return wall < job.acceptedWallMs + limits.last()
    }

    /** Whether most of the time that the class's tasks may wait for their start is over, and not all of it. */
    fun startDeadlineNear(job: OpenJob, wall: Long): Boolean {
        val limits = startWithinMs[job.spec.workload] ?: return false
        val waitedMs = wall - job.acceptedWallMs
        return limits.any { it >= leastBootMs() && waitedMs < it && waitedMs * NEAR_OF >= it * NEAR }
    }

    /** Whether tasks within a guarantee that start now are still in time. */
    fun guaranteeStartsInTime(job: OpenJob, wall: Long): Boolean = wall < job.acceptedWallMs + guaranteeWithinMs

    /**
     * When the job should be over, by its owner's deadline and its class's objectives: the first moment that can still
     * be kept when it needs [leastMs] from [wall] on, the last one when none can; [Long.MAX_VALUE] if nobody says, and
     * for a service, which is never over.
     */
    fun dueWall(job: OpenJob, wall: Long, leastMs: Long): Long {
        if (job.service) return Long.MAX_VALUE
        var firstKept = Long.MAX_VALUE
        var last = Long.MIN_VALUE

        fun consider(due: Long) {
            last = maxOf(last, due)
            if (wall + leastMs <= due) firstKept = minOf(firstKept, due)
        }
        job.spec.dueS?.let { dueS ->
            for (factor in deadlineFactorsOf(job)) consider(job.acceptedWallMs + millis(dueS * factor))
        }
        finishWithinMs[job.spec.workload]?.let { for (within in it) consider(job.acceptedWallMs + within) }
        return if (firstKept != Long.MAX_VALUE || last == Long.MIN_VALUE) firstKept else last
    }

    /** Without an objective of its class, an owner's deadline counts as it is. */
    private fun deadlineFactorsOf(job: OpenJob): DoubleArray {
        val factors = deadlineFactors[job.spec.workload]
        return if (factors == null || factors.isEmpty()) ONCE else factors
    }

    private companion object {
        /** The kinds of objectives as the settings name them. */
        const val KIND_GUARANTEE = "guarantee"
        const val KIND_START = "wait"
        const val KIND_FINISH = "finished"
        const val KIND_DEADLINE = "deadline"

        /** A start is near its deadline when this part of the wait is over: [NEAR] of [NEAR_OF]. */
        const val NEAR = 1
        const val NEAR_OF = 2
        val ONCE = doubleArrayOf(1.0)

        fun millis(seconds: Double): Long = (seconds * MS_PER_S).toLong()
    }
}
