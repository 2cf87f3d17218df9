package org.chalkhollow.runtime

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.InternalCoroutinesApi
import java.nio.ByteBuffer
import java.nio.channels.SelectableChannel
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.util.PriorityQueue
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.coroutines.CoroutineContext

/**
 * The one thread of a controller: it runs coroutines, their timers and the sockets of the HTTP side. ktor-network pumps
 * every socket through coroutines of its own on a pool of threads; with hundreds of workers that was half of the
 * processor time measured, most of it hand-overs between threads, so it carries only the few connections between
 * controllers.
 */
@OptIn(InternalCoroutinesApi::class)
class EventLoop :
    CoroutineDispatcher(),
    Delay {
    /** What a channel's key calls when the channel is ready. */
    fun interface Ready {
        fun onReady(key: SelectionKey)
    }

    private class Timer(val at: Long, val order: Long, val run: Runnable) {
        var cancelled = false
    }

    private val selector = Selector.open()
    private val local = ArrayDeque<Runnable>()

    /**
     * What other threads hand over: that is what other controllers say. It goes before all else, since an election must
     * not wait behind hundreds of workers that ask for the leader.
     */
    private val foreign = ConcurrentLinkedQueue<Runnable>()
    private val timers = PriorityQueue<Timer>(compareBy({ it.at }, { it.order }))
    private var timersMade = 0L
    private var thread: Thread? = null

    /** Scratch space for reads; only this thread's. */
    val scratch: ByteBuffer = ByteBuffer.allocateDirect(SCRATCH)

    /** Registers [channel]; must be called on the loop's thread. */
    fun register(channel: SelectableChannel, interest: Int, ready: Ready): SelectionKey {
        channel.configureBlocking(false)
        return channel.register(selector, interest, ready)
    }

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        if (Thread.currentThread() === thread) {
            local.addLast(block)
        } else {
            foreign.add(block)
            selector.wakeup()
        }
    }

    override fun scheduleResumeAfterDelay(timeMillis: Long, continuation: CancellableContinuation<Unit>) {
        val handle =
            invokeOnTimeout(timeMillis, { with(continuation) { resumeUndispatched(Unit) } }, continuation.context)
        continuation.invokeOnCancellation { handle.dispose() }
    }

    override fun invokeOnTimeout(timeMillis: Long, block: Runnable, context: CoroutineContext): DisposableHandle {
        val timer = Timer(System.nanoTime() + timeMillis.coerceIn(0, MOST_DELAY_MS) * 1_000_000, timersMade++, block)
        if (Thread.currentThread() === thread) {
            timers.add(timer)
        } else {
            dispatch(context) { timers.add(timer) }
        }
        return DisposableHandle { timer.cancelled = true }
    }

    /** Runs on the calling thread for as long as the process lives. */
    fun run() {
        thread = Thread.currentThread()
        while (true) {
            runTimers()
            runQueued()
            val wait = if (local.isNotEmpty() || foreign.isNotEmpty()) 0 else waitMs()
            if (wait == 0L) selector.selectNow() else selector.select(wait)
            val ready = selector.selectedKeys()
            if (ready.isEmpty()) continue
            for (key in ready) {
                if (key.isValid) (key.attachment() as Ready).onReady(key)
                (foreign.poll() ?: continue).run()
            }
            ready.clear()
        }
    }

    private fun runTimers() {
        while (true) {
            val next = timers.peek() ?: return
            if (!next.cancelled && next.at > System.nanoTime()) return
            timers.poll()
            if (!next.cancelled) next.run.run()
        }
    }

    /** Runs what is queued now and what that queues, up to a bound, so that sockets and timers get their turn. */
    private fun runQueued() {
        var left = MOST_AT_ONCE
        while (left-- > 0) (foreign.poll() ?: local.removeFirstOrNull() ?: return).run()
    }

    private fun waitMs(): Long {
        while (timers.peek()?.cancelled == true) timers.poll()
        val next = timers.peek() ?: return IDLE_MS
        return ((next.at - System.nanoTime() + 999_999) / 1_000_000).coerceIn(0, IDLE_MS)
    }

    private companion object {
        const val SCRATCH = 64 * 1024
        const val MOST_AT_ONCE = 256
        const val IDLE_MS = 10_000L
        const val MOST_DELAY_MS = 1L shl 40
    }
}
