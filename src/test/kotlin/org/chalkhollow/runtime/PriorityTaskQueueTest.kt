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
    private val queues = PriorityTaskQueue()
    private val ran = StringBuilder()

    private fun add(priority: TaskPriority, name: String) = queues.add(priority) { ran.append(name) }

    private fun runAll() {
        while (true) (queues.take() ?: return).run()
    }

    @Test
    fun `leadership goes before all that waited longer`() {
        repeat(5) { add(TaskPriority.WORKER, "w") }
        add(TaskPriority.USER, "u")
        add(TaskPriority.CONTROL, "c")
        queues.add(TaskPriority.CONTROL) { ran.append("n") }
        queues.take()?.run()
        queues.take()?.run()
        assertEquals("cn", ran.toString())
    }

    @Test
    fun `a user waits for no more than two of many heartbeats`() {
        repeat(6) { add(TaskPriority.WORKER, "w") }
        queues.take()?.run()
        add(TaskPriority.USER, "u")
        runAll()
        assertEquals("wuwwwww", ran.toString())
    }

    @Test
    fun `a flood of users leaves workers two turns of three`() {
        repeat(9) { add(TaskPriority.USER, "u") }
        repeat(6) { add(TaskPriority.WORKER, "w") }
        runAll()
        assertEquals("uwwuwwuwwuuuuuu", ran.toString())
    }

    @Test
    fun `idle work is none of what waits`() {
        add(TaskPriority.IDLE, "i")
        assertTrue(queues.isEmpty())
        assertTrue(queues.holdsIdle)
        assertNull(queues.take())
        queues.takeIdle()?.run()
        assertEquals("i", ran.toString())
        assertFalse(queues.holdsIdle)
    }

    @Test
    fun `a loop runs what is queued by the priority of its coroutine`() {
        val loop = EventLoop()
        val scope = CoroutineScope(Job() + loop)
        val done = CompletableFuture<String>()
        scope.launch {
            scope.launch(TaskPriorityElement(TaskPriority.IDLE)) { done.complete(ran.append("i").toString()) }
            repeat(40) { scope.launch(TaskPriorityElement(TaskPriority.WORKER)) { ran.append("w") } }
            scope.launch(TaskPriorityElement(TaskPriority.USER)) { ran.append("u") }
            scope.launch { ran.append("c") }
        }
        Thread(loop::run).apply { isDaemon = true }.start()
        assertEquals("cu" + "w".repeat(40) + "i", done.join())
    }
}
