package org.chalkhollow.model

/** Why a task exited. */
enum class ExitCause {
    /** It has done its work. */
    DONE,

    /** It was stopped, or other tasks that it needs were. */
    STOPPED,

    /** It failed. */
    ERROR,

    /** The worker refused the start: it has no room. */
    NO_FREE_CAPACITY,

    /** The worker refused the start: it has another attempt of the same task. */
    OTHER_ATTEMPT_PRESENT,

    /** The worker refused the start: it knows no such task. */
    UNKNOWN_TASK,
}

/** The status of one attempt of a task in a heartbeat; [cause] is there only when it has exited. */
data class TaskStatus(val jobId: String, val index: Int, val attempt: Long, val phase: Phase, val cause: ExitCause?) {
    /** Fetching its image, running, saving a checkpoint, or ended. */
    enum class Phase { FETCHING, RUNNING, SAVING, EXITED }
}

/**
 * A worker's heartbeat with the status of all its tasks. [seq] counts the heartbeats of the worker epoch [epoch].
 * [fencingToken] is the highest that the worker has seen. [spotNoticeS] is in how many seconds the cloud reclaims this
 * spot machine; null without a spot termination notice.
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
    val spotNoticeS: Double?,
    val tasks: List<TaskStatus>,
)
