package org.chalkhollow.model

/** Why a task exited. */
enum class ExitCause {
    /** It has done its work. */
    DONE,

    /** It was stopped, or other tasks that it needs were. */
    HALTED,

    /** It failed. */
    ERROR,

    /** The worker refused the start: it has no room. */
    FULL,

    /** The worker refused the start: it has another attempt of the same task. */
    BUSY,

    /** The worker refused the start: it knows no such task. */
    NO_SUCH,
}

/** The status of one attempt of a task in a heartbeat; [cause] is there only when it has exited. */
data class TaskStatus(val jobId: String, val index: Int, val attempt: Long, val phase: Phase, val cause: ExitCause?) {
    /** Fetching its image, running, saving a checkpoint, or ended. */
    enum class Phase { FETCHING, RUNNING, SAVING, EXITED }
}

/**
 * A worker's heartbeat with the status of all its tasks. [epoch] is the worker's, [seq] counts the heartbeats of that
 * epoch, [fencingToken] is the highest that the worker has seen. [noticeS] is how many seconds the cloud leaves a spot
 * machine that it takes back, null while it does not.
 */
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
