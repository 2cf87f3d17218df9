package org.chalkhollow.simulation

import java.util.PriorityQueue
import java.util.SplittableRandom

/** Virtual time: what is to happen, in order, and one seeded source of chance for everything that does. */
class VirtualClock(seed: Long) {
    private class Event(val at: Long, val order: Long, val run: () -> Unit)

    private val queue = PriorityQueue<Event>(compareBy({ it.at }, { it.order }))
    private var order = 0L
    val random = SplittableRandom(seed)

    /** Milliseconds since the simulation began. */
    var time = 0L
        private set

    /** Called after every event. */
    var afterEach: () -> Unit = {}

    fun after(ms: Long, run: () -> Unit) {
        queue.add(Event(time + maxOf(0, ms), order++, run))
    }

    fun between(least: Long, most: Long): Long = random.nextLong(least, most + 1)

    fun chance(p: Double): Boolean = random.nextDouble() < p

    fun runUntil(end: Long) {
        while (true) {
            val next = queue.peek() ?: break
            if (next.at > end) break
            queue.poll()
            time = next.at
            next.run()
            afterEach()
        }
        time = end
    }
}
