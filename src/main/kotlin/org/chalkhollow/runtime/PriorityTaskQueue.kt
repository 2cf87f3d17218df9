package org.chalkhollow.runtime

import kotlin.coroutines.AbstractCoroutineContextElement
import kotlin.coroutines.CoroutineContext

/** The priorities of tasks on the [EventLoop], highest first. */
enum class TaskPriority {
    /** Work that leadership depends on: the state service, other controllers, timers. The default. */
    CONTROL,

    /** Workers' requests. A worker must get its responses in time to keep its lease. */
    WORKER,

    /** Users' and operators' requests. */
    USER,

    /** Runs only when nothing else is queued. */
    IDLE,
}

/** Sets the priority of a coroutine's tasks. */
class TaskPriorityElement(val priority: TaskPriority) : AbstractCoroutineContextElement(Key) {
    companion object Key : CoroutineContext.Key<TaskPriorityElement>
}

/**
 * The tasks that are queued on an [EventLoop]. Control tasks run first. Worker and user tasks share the remaining time:
 * there are few users and they wait for their responses, so they do not queue behind hundreds of heartbeats. But while
 * worker tasks are queued, at most one of [WORKER_TASKS_PER_USER_TASK] + 1 tasks is a user task, so that a flood of
 * user requests does not make workers lose their leases.
 */
class PriorityTaskQueue {
    private val control = ArrayDeque<Runnable>()
    private val workers = ArrayDeque<Runnable>()
    private val users = ArrayDeque<Runnable>()
    private val idle = ArrayDeque<Runnable>()
    private var workerTasksSinceUserTask = WORKER_TASKS_PER_USER_TASK

    fun add(priority: TaskPriority, task: Runnable) {
        when (priority) {
            TaskPriority.CONTROL -> control
            TaskPriority.WORKER -> workers
            TaskPriority.USER -> users
            TaskPriority.IDLE -> idle
        }.addLast(task)
    }

    /** Whether an idle task is queued. */
    val hasIdle: Boolean get() = idle.isNotEmpty()

    /** Whether no task other than idle tasks is queued. */
    fun isEmpty(): Boolean = control.isEmpty() && workers.isEmpty() && users.isEmpty()

    /** Removes and returns the next task; null if only idle tasks or none are queued. */
    fun take(): Runnable? = control.removeFirstOrNull() ?: takeUser() ?: takeWorker() ?: users.removeFirstOrNull()

    fun takeIdle(): Runnable? = idle.removeFirstOrNull()

    private fun takeUser(): Runnable? {
        if (workerTasksSinceUserTask < WORKER_TASKS_PER_USER_TASK) return null
        return users.removeFirstOrNull()?.also { workerTasksSinceUserTask = 0 }
    }

    private fun takeWorker(): Runnable? = workers.removeFirstOrNull()?.also { workerTasksSinceUserTask++ }

    companion object {
        /** Worker tasks that run between two user tasks while both are queued. */
        const val WORKER_TASKS_PER_USER_TASK = 2
    }
}
