package org.chalkhollow.simulation

import java.util.PriorityQueue
import java.util.SplittableRandom

/** Virtual time: what is to happen, in order, and one seeded source of chance for everything that does. */
class VirtualClock(seed: Long) {
    private class Event(val atMs: Long, val order: Long, val run: () -> Unit)

    private val queue = PriorityQueue<Event>(compareBy({ it.atMs }, { it.order }))
    private var order = 0L
    val random = SplittableRandom(seed)

    /** Milliseconds since the simulation began. */
    var timeMs = 0L
        private set

    /** Called after every event. */
    var afterEach: () -> Unit = {}

    fun after(ms: Long, run: () -> Unit) {
        queue.add(Event(timeMs + maxOf(0, ms), order++, run))
    }

    fun between(min: Long, max: Long): Long = random.nextLong(min, max + 1)

    fun chance(probability: Double): Boolean = random.nextDouble() < probability

    fun runUntil(endMs: Long) {
        while (true) {
            val next = queue.peek() ?: break
            if (next.atMs > endMs) break
            queue.poll()
            timeMs = next.atMs
            next.run()
            afterEach()
        }
        timeMs = endMs
    }
}
