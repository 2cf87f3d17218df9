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

/** The order in which a controller that is short of processor time runs its tasks. */
class PriorityTaskQueueTest {
    private val queue = PriorityTaskQueue()
    private val executed = StringBuilder()

    private fun add(priority: TaskPriority, name: String) = queue.add(priority) { executed.append(name) }

    private fun runAll() {
        while (true) (queue.take() ?: return).run()
    }

    @Test
    fun `control tasks run before tasks queued earlier`() {
        repeat(5) { add(TaskPriority.WORKER, "w") }
        add(TaskPriority.USER, "u")
        add(TaskPriority.CONTROL, "c")
        queue.add(TaskPriority.CONTROL) { executed.append("n") }
        queue.take()?.run()
        queue.take()?.run()
        assertEquals("cn", executed.toString())
    }

    @Test
    fun `a user task waits for at most two of many worker tasks`() {
        repeat(6) { add(TaskPriority.WORKER, "w") }
        queue.take()?.run()
        add(TaskPriority.USER, "u")
        runAll()
        assertEquals("wuwwwww", executed.toString())
    }

    @Test
    fun `a flood of user tasks leaves two of three turns to worker tasks`() {
        repeat(9) { add(TaskPriority.USER, "u") }
        repeat(6) { add(TaskPriority.WORKER, "w") }
        runAll()
        assertEquals("uwwuwwuwwuuuuuu", executed.toString())
    }

    @Test
    fun `idle tasks do not count as queued tasks and are taken separately`() {
        add(TaskPriority.IDLE, "i")
        assertTrue(queue.isEmpty())
        assertTrue(queue.hasIdle)
        assertNull(queue.take())
        queue.takeIdle()?.run()
        assertEquals("i", executed.toString())
        assertFalse(queue.hasIdle)
    }

    @Test
    fun `an event loop runs coroutines' tasks in the order of their priority`() {
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
