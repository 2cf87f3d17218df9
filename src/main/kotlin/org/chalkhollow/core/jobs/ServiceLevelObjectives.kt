package org.chalkhollow.core.jobs

import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.settings.Objective

/**
 * The settings' objectives on how soon jobs of each class start and finish. A class may have several objectives of one
 * kind, such as most starts within seconds and nearly all within a minute or two: when the first is missed, the next
 * still counts. An earlier version kept one objective of each kind, and treated a class that may wait for minutes as
 * one that needs prompt starts. Immutable; read by placement.
 */
class ServiceLevelObjectives(objectives: List<Objective>, private val minBootMs: () -> Long) {
    /** By class: times after acceptance within which tasks should start, ascending. */
    private val startWithinMs = HashMap<String, LongArray>()

    /** By class: times after acceptance within which jobs should finish, ascending. */
    private val finishWithinMs = HashMap<String, LongArray>()

    /** By class: multiples of the job's own deadline within which jobs should finish, ascending. */
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
            deadlineFactors[workload] = deadlines.map { it.deadlineFactor }.sorted().toDoubleArray()
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
     * Whether tasks of this class should start sooner than a new machine can boot, so that capacity for them has to be
     * free already. True for all replicas of services.
     */
    fun awaitsPromptStart(job: OpenJob): Boolean {
        if (job.service) return true
        val limits = startWithinMs[job.spec.workload] ?: return false
        return limits.isNotEmpty() && limits.first() < minBootMs()
    }

    /**
     * Whether a replica of a service, or a task of a class that needs prompt starts, meets the last start objective
     * of its class if it starts now. With the first objective instead, tasks that had just arrived went before those
     * that had waited for seconds, and half of the tasks in a burst of urgent work started late without need.
     */
    fun canStartInTime(job: OpenJob, wallMs: Long): Boolean {
        if (job.service) return true
        if (!awaitsPromptStart(job)) return false
        val limits = startWithinMs[job.spec.workload] ?: return false
        return wallMs < job.acceptedWallMs + limits.last()
    }

    /**
     * Whether at least half of the time in a start objective of the class has passed, but not all of it. Counts only
     * objectives that are not shorter than the shortest boot time of a machine.
     */
    fun isStartDeadlineNear(job: OpenJob, wallMs: Long): Boolean {
        val limits = startWithinMs[job.spec.workload] ?: return false
        val waitedMs = wallMs - job.acceptedWallMs
        return limits.any { it >= minBootMs() && waitedMs < it && waitedMs * NEAR_DENOMINATOR >= it * NEAR_NUMERATOR }
    }

    /** Whether a task within its team's guarantee meets the guarantee objective if it starts now. */
    fun canMeetGuaranteeObjective(job: OpenJob, wallMs: Long): Boolean = wallMs < job.acceptedWallMs + guaranteeWithinMs

    /**
     * The wall-clock time at which the job should be finished, by its own deadline and the objectives of its class.
     * Of several times, returns the first that the job can still meet if it needs [minRemainingMs] from [wallMs] on, or
     * the last if it can meet none. Returns [Long.MAX_VALUE] if there is no deadline or objective, and for services,
     * which do not finish.
     */
    fun dueWallMs(job: OpenJob, wallMs: Long, minRemainingMs: Long): Long {
        if (job.service) return Long.MAX_VALUE
        var firstFeasibleMs = Long.MAX_VALUE
        var lastMs = Long.MIN_VALUE

        fun consider(dueMs: Long) {
            lastMs = maxOf(lastMs, dueMs)
            if (wallMs + minRemainingMs <= dueMs) firstFeasibleMs = minOf(firstFeasibleMs, dueMs)
        }
        job.spec.dueS?.let { dueS ->
            for (factor in deadlineFactorsOf(job)) consider(job.acceptedWallMs + millis(dueS * factor))
        }
        finishWithinMs[job.spec.workload]?.let { for (withinMs in it) consider(job.acceptedWallMs + withinMs) }
        return if (firstFeasibleMs != Long.MAX_VALUE || lastMs == Long.MIN_VALUE) firstFeasibleMs else lastMs
    }

    /** Without a deadline objective of its class, the job's own deadline counts unchanged. */
    private fun deadlineFactorsOf(job: OpenJob): DoubleArray {
        val factors = deadlineFactors[job.spec.workload]
        return if (factors == null || factors.isEmpty()) UNCHANGED_DEADLINE else factors
    }

    private companion object {
        /** Kinds of objectives as named in the settings. */
        const val KIND_GUARANTEE = "guarantee"
        const val KIND_START = "wait"
        const val KIND_FINISH = "finished"
        const val KIND_DEADLINE = "deadline"

        /** A start objective is near when this fraction of its time has passed. */
        const val NEAR_NUMERATOR = 1
        const val NEAR_DENOMINATOR = 2
        val UNCHANGED_DEADLINE = doubleArrayOf(1.0)

        fun millis(seconds: Double): Long = (seconds * MS_PER_S).toLong()
    }
}
