package org.chalkhollow.model

/** Why a task exited. */
enum class ExitCause { DONE, HALTED, ERROR, FULL, BUSY, NO_SUCH }

/** What a worker says of one task. */
data class TaskStatus(val jobId: String, val index: Int, val attempt: Long, val phase: Phase, val cause: ExitCause?) {
    enum class Phase { FETCHING, RUNNING, SAVING, EXITED }
}

/** A worker's report. */
data class WorkerHeartbeat(
    val machine: String,
    val address: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val epoch: Long,
    val seq: Long,
    val fencingToken: Long,
    val noticeS: Double?,
    val tasks: List<TaskStatus>,
)
