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
 * Runs coroutines, timers and the sockets of HTTP connections on the single thread of a controller. ktor-network serves
 * only the few connections between controllers: it runs every socket in coroutines on a thread pool, and with hundreds
 * of workers this took half of the processor time, mostly for switching between threads.
 */
@OptIn(InternalCoroutinesApi::class, ExperimentalCoroutinesApi::class)
class EventLoop :
    CoroutineDispatcher(),
    Delay {
    /** Called when a channel is ready. */
    interface ReadyListener {
        /** Whether leadership depends on this channel. Such channels are served before all others. */
        val isControl: Boolean get() = false

        fun onReady(key: SelectionKey)
    }

    private class Registration(val listener: ReadyListener) {
        /** Whether the key of this registration is in [readyKeys]. */
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

    /** Channels that are ready but not yet served, in the order in which they became ready. */
    private val readyKeys = ArrayDeque<SelectionKey>()

    /**
     * Tasks submitted by other threads: messages of other controllers. They run before all other tasks, because an
     * election must not wait behind hundreds of workers that look for the leader.
     */
    private val tasksFromOtherThreads = ConcurrentLinkedQueue<Runnable>()
    private val timers = PriorityQueue<Timer>()
    private var nextTimerSequence = 0L
    private var thread: Thread? = null

    /** When the current pass ends and the selector is polled again, as a value of `System.nanoTime()`. */
    private var passDeadlineNs = 0L

    /** Shared buffer for socket reads; used only on the loop's thread. */
    val readBuffer: ByteBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES)

    /** Registers [channel] for the operations [interest]. Must be called on the loop's thread. */
    fun register(channel: SelectableChannel, interest: Int, listener: ReadyListener): SelectionKey {
        channel.configureBlocking(false)
        return channel.register(selector, interest, Registration(listener))
    }

    /** Queues [task] at [priority]. Must be called on the loop's thread. */
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
                Runnable { continuation.resume(Unit) } // queued, because tasks of higher priority may be queued by then
            } else {
                Runnable { with(continuation) { resumeUndispatched(Unit) } }
            }
        val handle = invokeOnTimeout(timeMillis, resumeTask, continuation.context)
        continuation.invokeOnCancellation { handle.dispose() }
    }

    /** Runs [block] after [delayMs], before all queued tasks. Must be called on the loop's thread. */
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

    /** Runs the loop on the calling thread; never returns. */
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
     * Serves ready channels. Those that leadership depends on are served first and always. At most
     * [MAX_CHANNELS_PER_PASS] of the others are served, in the order in which they became ready, so that hundreds of
     * heartbeats cannot delay a renewal of the leader lease.
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
     * Runs queued tasks, those of the highest priority first. Runs at most [MAX_TASKS_PER_PASS], so that sockets are
     * served too. Between any two tasks, due timers and other controllers' messages run, because renewals of the leader
     * lease depend on the timers.
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
         * Ends a pass after this time, whatever the counts allow. A failover consists of a dozen messages in sequence.
         * On a few hundredths of a core, while code runs for the first time and all workers connect, passes limited
         * only by counts took half a second each and a failover ten seconds.
         */
        const val MAX_PASS_MS = 25L

        /** Channels that are read in one pass. Requests read from them are queued by priority. */
        const val MAX_CHANNELS_PER_PASS = 16

        /** The longest wait for ready channels. */
        const val MAX_SELECT_MS = 10_000L

        /** Keeps the conversion to nanoseconds from overflowing. */
        const val MAX_DELAY_MS = 1L shl 40
    }
}
