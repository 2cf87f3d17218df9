package org.chalkhollow.model

/** Priority classes, most urgent first; the ordinal is the rank. */
enum class Priority { PRODUCTION, HIGH, STANDARD, BEST_EFFORT }

/** What one task takes of its machine, or what a machine has room for. */
data class Resources(val cpus: Double, val gpus: Double, val memoryGb: Double) {
    /** Whether one task of this size fits into [capacity]. */
    fun fitsIn(capacity: Resources): Boolean =
        cpus <= capacity.cpus + EPSILON && gpus <= capacity.gpus + EPSILON && memoryGb <= capacity.memoryGb + EPSILON

    /** How many tasks of this size fit into [capacity]. */
    fun countIn(capacity: Resources): Int {
        var n = Int.MAX_VALUE.toDouble()
        if (cpus > 0) n = minOf(n, (capacity.cpus + EPSILON) / cpus)
        if (gpus > 0) n = minOf(n, (capacity.gpus + EPSILON) / gpus)
        if (memoryGb > 0) n = minOf(n, (capacity.memoryGb + EPSILON) / memoryGb)
        return maxOf(0, n.toInt())
    }

    operator fun plus(other: Resources) = Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb)

    /** What is left of this room beside [n] tasks of size [taskResources]. */
    fun without(taskResources: Resources, n: Int) =
        Resources(cpus - n * taskResources.cpus, gpus - n * taskResources.gpus, memoryGb - n * taskResources.memoryGb)

    companion object {
        const val EPSILON = 1e-6
    }
}

/** How the tasks of a job relate: each on its own, all at the same time, or replicas that run until cancelled. */
enum class Shape { ARRAY, GANG, SERVICE }

/**
 * A job as its user described it; names that the core compares are text only here and where they enter the core. Names
 * that end in `S` are seconds, in `Gb` gigabytes; a null list of [types], [zone] or [dueS] sets no bound.
 */
data class JobSpec(
    val id: String,
    val workload: String,
    val team: String,
    val shape: Shape,
    val priority: Priority,
    val tasks: Int,
    val taskResources: Resources,
    val image: String?,
    val imageGb: Double,
    val types: List<String>?,
    val zone: String?,
    val together: Boolean,
    val spread: Boolean,
    val spotAllowed: Boolean,
    val expectedS: Double,
    val checkpointS: Double,
    val saveS: Double,
    val dueS: Double?,
)

/** The state of a job as it is stored; responses to users state only what is stored. */
enum class JobState { OPEN, DONE, CANCELLED }

/** A team's quota: the CPUs and GPUs that it is guaranteed, and the most that it may use. */
data class Team(val name: String, val cpus: Double, val cpusMax: Double, val gpus: Double, val gpusMax: Double)

/** A machine type of the cloud's catalog; [bootS] is how many seconds a machine takes until it can be used. */
data class MachineType(
    val name: String,
    val capacity: Resources,
    val imageGbPerS: Double,
    val cacheGb: Double,
    val price: Double,
    val spotPrice: Double,
    val bootS: Double,
    val zones: List<String>,
)
