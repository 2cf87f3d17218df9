package org.chalkhollow.model

/** A command to a worker about one attempt of the task [index] of a job. */
sealed interface Command {
    val jobId: String
    val index: Int
    val attempt: Long

    /** Starts the attempt. */
    data class Start(override val jobId: String, override val index: Int, override val attempt: Long) : Command

    /** Stops the attempt, which has [graceS] seconds to save a checkpoint. */
    data class Stop(
        override val jobId: String,
        override val index: Int,
        override val attempt: Long,
        val graceS: Double,
    ) : Command

    /** Drops an attempt that has exited from the worker's heartbeats. */
    data class Forget(override val jobId: String, override val index: Int, override val attempt: Long) : Command
}
