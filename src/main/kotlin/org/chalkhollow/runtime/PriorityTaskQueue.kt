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
class TaskPriorityElement(val level: TaskPriority) : AbstractCoroutineContextElement(Key) {
    companion object Key : CoroutineContext.Key<TaskPriorityElement>
}

/**
 * The tasks that are queued on an [EventLoop]. Control goes before all else. Workers and users share what is
 * left: users are few and wait for their answers, so they need not queue behind hundreds of heartbeats, but
 * get at most one task in [WORKERS_PER_USER] + 1 while workers wait, so that a flood of requests costs no worker its
 * lease.
 */
class PriorityTaskQueue {
    private val control = ArrayDeque<Runnable>()
    private val workers = ArrayDeque<Runnable>()
    private val users = ArrayDeque<Runnable>()
    private val idle = ArrayDeque<Runnable>()
    private var workersSinceUser = WORKERS_PER_USER

    fun add(priority: TaskPriority, task: Runnable) {
        when (priority) {
            TaskPriority.CONTROL -> control
            TaskPriority.WORKER -> workers
            TaskPriority.USER -> users
            TaskPriority.IDLE -> idle
        }.addLast(task)
    }

    /** Whether work waits that is done only when there is nothing else to do. */
    val holdsIdle: Boolean get() = idle.isNotEmpty()

    /** Whether nothing but idle work waits. */
    fun isEmpty(): Boolean = control.isEmpty() && workers.isEmpty() && users.isEmpty()

    /** The next task, or null when nothing but idle work waits. */
    fun take(): Runnable? = control.removeFirstOrNull() ?: takeUser() ?: takeWorker() ?: users.removeFirstOrNull()

    fun takeIdle(): Runnable? = idle.removeFirstOrNull()

    private fun takeUser(): Runnable? {
        if (workersSinceUser < WORKERS_PER_USER) return null
        return users.removeFirstOrNull()?.also { workersSinceUser = 0 }
    }

    private fun takeWorker(): Runnable? = workers.removeFirstOrNull()?.also { workersSinceUser++ }

    companion object {
        /** Heartbeats that go between two users' requests while both wait. */
        const val WORKERS_PER_USER = 2
    }
}
