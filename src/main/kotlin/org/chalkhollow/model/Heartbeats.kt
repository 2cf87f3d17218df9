package org.chalkhollow.model

/** Why a task exited. */
enum class ExitCause {
    /** The task completed. */
    DONE,

    /** The task was stopped, or other tasks that it needs were stopped or missing. */
    STOPPED,

    /** The task failed. */
    ERROR,

    /** The worker rejected the start because its machine lacks free capacity. */
    NO_FREE_CAPACITY,

    /** The worker rejected the start because it has another attempt of the same task. */
    OTHER_ATTEMPT_PRESENT,

    /** The worker rejected the start because it does not know the task. */
    UNKNOWN_TASK,
}

/** The status of an attempt in a heartbeat; [cause] is null unless the attempt has exited. */
data class TaskStatus(val jobId: String, val index: Int, val attempt: Long, val phase: Phase, val cause: ExitCause?) {
    /** Fetching the image, running, saving a checkpoint, or exited. */
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
