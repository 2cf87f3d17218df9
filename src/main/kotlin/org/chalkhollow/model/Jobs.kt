package org.chalkhollow.model

/** Priority classes, most urgent first; the ordinal is the rank. */
enum class Priority { PRODUCTION, HIGH, STANDARD, BEST_EFFORT }

/** The resource demand of a task, or the capacity or free capacity of a machine. */
data class Resources(val cpus: Double, val gpus: Double, val memoryGb: Double) {
    /** Whether a task with this resource demand fits into [capacity]. */
    fun fitsIn(capacity: Resources): Boolean =
        cpus <= capacity.cpus + EPSILON && gpus <= capacity.gpus + EPSILON && memoryGb <= capacity.memoryGb + EPSILON

    /** How many tasks with this resource demand fit into [capacity]. */
    fun countIn(capacity: Resources): Int {
        var n = Int.MAX_VALUE.toDouble()
        if (cpus > 0) n = minOf(n, (capacity.cpus + EPSILON) / cpus)
        if (gpus > 0) n = minOf(n, (capacity.gpus + EPSILON) / gpus)
        if (memoryGb > 0) n = minOf(n, (capacity.memoryGb + EPSILON) / memoryGb)
        return maxOf(0, n.toInt())
    }

    operator fun plus(other: Resources) = Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb)

    /** This capacity less the demand of [n] tasks that need [taskResources] each. */
    fun without(taskResources: Resources, n: Int) =
        Resources(cpus - n * taskResources.cpus, gpus - n * taskResources.gpus, memoryGb - n * taskResources.memoryGb)

    companion object {
        const val EPSILON = 1e-6
    }
}

/** How the tasks of a job run: independently, all at the same time, or as replicas until the job is cancelled. */
enum class Shape { ARRAY, GANG, SERVICE }

/**
 * A job as its user submitted it. The core interns the names in it and compares their indices instead. Values are in
 * seconds if their name ends in `S`, and in gigabytes if it ends in `Gb`. Null for [types], [zone] or [dueS] means no
 * restriction. With [together] all tasks run in one zone; with [spread] at most half of them, rounded up, run in the
 * same zone. [checkpointS] is 0 if tasks do not save checkpoints; [saveS] estimates how long saving one takes. [dueS]
 * is the deadline, counted from when the job was accepted.
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

/** The stored state of a job. Responses to users report only what is stored. */
enum class JobState { OPEN, DONE, CANCELLED }

/** A team's quota: guaranteed CPUs and GPUs, and the limits [cpusMax] and [gpusMax] on what it may use. */
data class Team(val name: String, val cpus: Double, val cpusMax: Double, val gpus: Double, val gpusMax: Double)

/** A machine type in the cloud's catalog; a rented machine can be used after about [bootS] seconds. */
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
