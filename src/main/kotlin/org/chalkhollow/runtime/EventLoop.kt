package org.chalkhollow.runtime

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.InternalCoroutinesApi
import java.nio.ByteBuffer
import java.nio.channels.SelectableChannel
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.util.PriorityQueue
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.coroutines.CoroutineContext
import kotlin.coroutines.resume

/**
 * The one thread of a controller: it runs coroutines, their timers and the sockets of the HTTP side. ktor-network pumps
 * every socket through coroutines of its own on a pool of threads; with hundreds of workers that was half of the
 * processor time measured, most of it hand-overs between threads, so it carries only the few connections between
 * controllers.
 */
@OptIn(InternalCoroutinesApi::class, ExperimentalCoroutinesApi::class)
class EventLoop :
    CoroutineDispatcher(),
    Delay {
    /** Called when a channel is ready. */
    interface ReadyListener {
        /** Whether leadership depends on this channel, so that it goes before all others. */
        val isControl: Boolean get() = false

        fun onReady(key: SelectionKey)
    }

    private class Registration(val listener: ReadyListener) {
        /** Whether its key waits in [readyKeys]. */
        var isQueued = false
    }

    private class Timer(val dueAtNs: Long, private val sequence: Long, val task: Runnable) : Comparable<Timer> {
        var isCancelled = false

        override fun compareTo(other: Timer): Int {
            val byTime = dueAtNs.compareTo(other.dueAtNs)
            return if (byTime != 0) byTime else sequence.compareTo(other.sequence)
        }
    }

    private val selector = Selector.open()
    private val taskQueue = PriorityTaskQueue()

    /** Channels that are ready and were not served yet, longest waiting first. */
    private val readyKeys = ArrayDeque<SelectionKey>()

    /**
     * Tasks from other threads, which are messages of other controllers. They go before all else, since an election
     * must not wait behind hundreds of workers that look for the leader.
     */
    private val tasksFromOtherThreads = ConcurrentLinkedQueue<Runnable>()
    private val timers = PriorityQueue<Timer>()
    private var nextTimerSequence = 0L
    private var thread: Thread? = null

    /** When the current pass ends, so that the state service is looked at again; in nanoseconds. */
    private var passDeadlineNs = 0L

    /** Scratch space for reads; only this thread's. */
    val readBuffer: ByteBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES)

    /** Registers [channel]; must be called on the loop's thread. */
    fun register(channel: SelectableChannel, interest: Int, listener: ReadyListener): SelectionKey {
        channel.configureBlocking(false)
        return channel.register(selector, interest, Registration(listener))
    }

    /** Queues [task] at [priority]; must be called on the loop's thread. */
    fun submit(priority: TaskPriority, task: Runnable) = taskQueue.add(priority, task)

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        if (Thread.currentThread() === thread) {
            taskQueue.add(context[TaskPriorityElement]?.priority ?: TaskPriority.CONTROL, block)
        } else {
            tasksFromOtherThreads.add(block)
            selector.wakeup()
        }
    }

    override fun scheduleResumeAfterDelay(timeMillis: Long, continuation: CancellableContinuation<Unit>) {
        val resumeTask =
            if (continuation.context[TaskPriorityElement]?.priority == TaskPriority.IDLE) {
                Runnable { continuation.resume(Unit) } // queued, since something else may be due by then
            } else {
                Runnable { with(continuation) { resumeUndispatched(Unit) } }
            }
        val handle = invokeOnTimeout(timeMillis, resumeTask, continuation.context)
        continuation.invokeOnCancellation { handle.dispose() }
    }

    /** Runs [block] after [delayMs], before all that is queued; must be called on the loop's thread. */
    fun runAfter(delayMs: Long, block: () -> Unit): DisposableHandle {
        val timer = newTimer(delayMs, block)
        timers.add(timer)
        return DisposableHandle { timer.isCancelled = true }
    }

    private fun newTimer(delayMs: Long, task: Runnable) =
        Timer(
            System.nanoTime() + delayMs.coerceIn(0, MAX_DELAY_MS) * SystemClocks.NANOS_PER_MS,
            nextTimerSequence++,
            task,
        )

    override fun invokeOnTimeout(timeMillis: Long, block: Runnable, context: CoroutineContext): DisposableHandle {
        val timer = newTimer(timeMillis, block)
        if (Thread.currentThread() === thread) {
            timers.add(timer)
        } else {
            dispatch(context) { timers.add(timer) }
        }
        return DisposableHandle { timer.isCancelled = true }
    }

    /** Runs on the calling thread for as long as the process lives. */
    fun run() {
        thread = Thread.currentThread()
        while (true) {
            passDeadlineNs = System.nanoTime() + MAX_PASS_MS * SystemClocks.NANOS_PER_MS
            runTimers()
            runQueuedTasks()
            val hasWork = taskQueue.hasIdle || hasPendingWork()
            val selectTimeoutMs = if (hasWork) 0 else msUntilNextTimer()
            if (selectTimeoutMs == 0L) selector.selectNow() else selector.select(selectTimeoutMs)
            serveReadyChannels()
            if (!hasPendingWork() && !isTimerDue()) taskQueue.takeIdle()?.run()
        }
    }

    private fun hasPendingWork(): Boolean =
        !taskQueue.isEmpty() || !tasksFromOtherThreads.isEmpty() || readyKeys.isNotEmpty()

    /**
     * Serves channels that are ready: those that leadership depends on at once, the others in the order in which they
     * became ready and up to a bound, so that hundreds of heartbeats cannot delay a renewal of the leader lease.
     */
    private fun serveReadyChannels() {
        for (key in selector.selectedKeys()) {
            val registration = key.attachment() as Registration
            if (registration.listener.isControl) {
                serve(key)
            } else if (!registration.isQueued) {
                registration.isQueued = true
                readyKeys.addLast(key)
            }
        }
        selector.selectedKeys().clear()
        repeat(MAX_CHANNELS_PER_PASS) {
            val key = readyKeys.removeFirstOrNull() ?: return
            (key.attachment() as Registration).isQueued = false
            serve(key)
            if (isPassOver()) return
        }
    }

    private fun serve(key: SelectionKey) {
        if (key.isValid) (key.attachment() as Registration).listener.onReady(key)
    }

    private fun runTimers() {
        while (true) {
            val next = timers.peek() ?: return
            if (!next.isCancelled && next.dueAtNs > System.nanoTime()) return
            timers.poll()
            if (!next.isCancelled) next.task.run()
        }
    }

    /**
     * Runs what is queued, most important first and up to a bound, so that sockets are served too. Timers, on which
     * renewals of the leader lease depend, and other controllers' messages go between any two tasks.
     */
    private fun runQueuedTasks() {
        repeat(MAX_TASKS_PER_PASS) {
            (tasksFromOtherThreads.poll() ?: taskQueue.take() ?: return).run()
            if (isTimerDue()) runTimers()
            if (isPassOver()) return
        }
    }

    private fun isPassOver(): Boolean = System.nanoTime() >= passDeadlineNs

    private fun isTimerDue(): Boolean {
        val next = timers.peek() ?: return false
        return next.dueAtNs <= System.nanoTime()
    }

    private fun msUntilNextTimer(): Long {
        while (timers.peek()?.isCancelled == true) timers.poll()
        val next = timers.peek() ?: return MAX_SELECT_MS
        val roundedUpNs = next.dueAtNs - System.nanoTime() + SystemClocks.NANOS_PER_MS - 1
        return (roundedUpNs / SystemClocks.NANOS_PER_MS).coerceIn(0, MAX_SELECT_MS)
    }

    private companion object {
        const val READ_BUFFER_BYTES = 64 * 1024
        const val MAX_TASKS_PER_PASS = 16

        /**
         * Whatever is counted, a pass ends when it has taken this long. A failover is a dozen messages one after the
         * other; on a few hundredths of a core, with code that runs for the first time and all workers connecting,
         * passes bounded by counts alone took half a second each and a failover ten seconds.
         */
        const val MAX_PASS_MS = 25L

        /** Channels that are read from in one pass; what they bring is queued by priority. */
        const val MAX_CHANNELS_PER_PASS = 16

        /** The longest wait without anything to do. */
        const val MAX_SELECT_MS = 10_000L
        const val MAX_DELAY_MS = 1L shl 40
    }
}
