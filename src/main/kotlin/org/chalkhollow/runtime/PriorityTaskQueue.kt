package org.chalkhollow.runtime

import kotlin.coroutines.AbstractCoroutineContextElement
import kotlin.coroutines.CoroutineContext

/** What a task on the [EventLoop] serves, most important first. */
enum class TaskPriority {
    /** Leadership: the state service, other controllers, timers. The priority of tasks that name none. */
    CONTROL,

    /** A worker, whose lease depends on an answer in time. */
    WORKER,

    /** A user. */
    USER,

    /** Only when there is nothing else to do. */
    IDLE,
}

/** The priority of a coroutine's tasks. */
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

    /** Whether work waits that is done only when there is nothing else to do. */
    val hasIdle: Boolean get() = idle.isNotEmpty()

    /** Whether nothing but idle work waits. */
    fun isEmpty(): Boolean = control.isEmpty() && workers.isEmpty() && users.isEmpty()

    /** The next task, or null when nothing but idle work waits. */
    fun take(): Runnable? = control.removeFirstOrNull() ?: takeUser() ?: takeWorker() ?: users.removeFirstOrNull()

    fun takeIdle(): Runnable? = idle.removeFirstOrNull()

    private fun takeUser(): Runnable? {
        if (workerTasksSinceUserTask < WORKER_TASKS_PER_USER_TASK) return null
        return users.removeFirstOrNull()?.also { workerTasksSinceUserTask = 0 }
    }

    private fun takeWorker(): Runnable? = workers.removeFirstOrNull()?.also { workerTasksSinceUserTask++ }

    companion object {
        /** Heartbeats that go between two users' requests while both wait. */
        const val WORKER_TASKS_PER_USER_TASK = 2
    }
}
