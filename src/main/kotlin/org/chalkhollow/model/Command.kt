package org.chalkhollow.model

/** A command to a worker about one attempt of the task [index] of a job. */
sealed interface Command {
    val jobId: String
    val index: Int
    val attempt: Long

    /** Starts the attempt. */
    data class Start(override val jobId: String, override val index: Int, override val attempt: Long) : Command

    /** Stops the attempt, with a grace period of [graceS] seconds to save a checkpoint. */
    data class Stop(
        override val jobId: String,
        override val index: Int,
        override val attempt: Long,
        val graceS: Double,
    ) : Command

    /** Makes the worker forget an exited attempt, so that its heartbeats do not list it any more. */
    data class Forget(override val jobId: String, override val index: Int, override val attempt: Long) : Command
}
