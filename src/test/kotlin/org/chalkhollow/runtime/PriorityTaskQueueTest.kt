package org.chalkhollow.runtime

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.CompletableFuture

/** The order in which a controller with too little processor time does its work. */
class PriorityTaskQueueTest {
    private val queue = PriorityTaskQueue()
    private val executed = StringBuilder()

    private fun add(priority: TaskPriority, name: String) = queue.add(priority) { executed.append(name) }

    private fun runAll() {
        while (true) (queue.take() ?: return).run()
    }

    @Test
    fun `leadership goes before all that waited longer`() {
        repeat(5) { add(TaskPriority.WORKER, "w") }
        add(TaskPriority.USER, "u")
        add(TaskPriority.CONTROL, "c")
        queue.add(TaskPriority.CONTROL) { executed.append("n") }
        queue.take()?.run()
        queue.take()?.run()
        assertEquals("cn", executed.toString())
    }

    @Test
    fun `a user waits for no more than two of many heartbeats`() {
        repeat(6) { add(TaskPriority.WORKER, "w") }
        queue.take()?.run()
        add(TaskPriority.USER, "u")
        runAll()
        assertEquals("wuwwwww", executed.toString())
    }

    @Test
    fun `a flood of users leaves workers two turns of three`() {
        repeat(9) { add(TaskPriority.USER, "u") }
        repeat(6) { add(TaskPriority.WORKER, "w") }
        runAll()
        assertEquals("uwwuwwuwwuuuuuu", executed.toString())
    }

    @Test
    fun `idle work is none of what waits`() {
        add(TaskPriority.IDLE, "i")
        assertTrue(queue.isEmpty())
        assertTrue(queue.hasIdle)
        assertNull(queue.take())
        queue.takeIdle()?.run()
        assertEquals("i", executed.toString())
        assertFalse(queue.hasIdle)
    }

    @Test
    fun `a loop runs what is queued by the priority of its coroutine`() {
        val loop = EventLoop()
        val scope = CoroutineScope(Job() + loop)
        val done = CompletableFuture<String>()
        scope.launch {
            scope.launch(TaskPriorityElement(TaskPriority.IDLE)) { done.complete(executed.append("i").toString()) }
            repeat(40) { scope.launch(TaskPriorityElement(TaskPriority.WORKER)) { executed.append("w") } }
            scope.launch(TaskPriorityElement(TaskPriority.USER)) { executed.append("u") }
            scope.launch { executed.append("c") }
        }
        Thread(loop::run).apply { isDaemon = true }.start()
        assertEquals("cu" + "w".repeat(40) + "i", done.join())
    }
}
