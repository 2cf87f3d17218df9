package org.chalkhollow.model

/** Commands to a worker. */
sealed interface Command {
    val jobId: String
    val index: Int
    val attempt: Long

    data class Start(override val jobId: String, override val index: Int, override val attempt: Long) : Command

    data class Stop(
        override val jobId: String,
        override val index: Int,
        override val attempt: Long,
        val graceS: Double,
    ) : Command

    data class Forget(override val jobId: String, override val index: Int, override val attempt: Long) : Command
}
