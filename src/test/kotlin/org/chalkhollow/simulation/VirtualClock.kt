package org.chalkhollow.simulation

import java.util.PriorityQueue
import java.util.SplittableRandom

/** A virtual clock. It runs scheduled events in order of time and has the random generator of the simulation. */
class VirtualClock(seed: Long) {
    private class Event(val atMs: Long, val order: Long, val run: () -> Unit)

    private val queue = PriorityQueue<Event>(compareBy({ it.atMs }, { it.order }))
    private var order = 0L
    val random = SplittableRandom(seed)

    /** Time since the start of the simulation. */
    var timeMs = 0L
        private set

    /** Called after every event. */
    var afterEach: () -> Unit = {}

    /** Schedules [run] in [ms], at once if it is negative. Events at the same time run in the order of these calls. */
    fun after(ms: Long, run: () -> Unit) {
        queue.add(Event(timeMs + maxOf(0, ms), order++, run))
    }

    /** A random number from [min] to [max], both included. */
    fun between(min: Long, max: Long): Long = random.nextLong(min, max + 1)

    fun chance(probability: Double): Boolean = random.nextDouble() < probability

    /** Runs all events up to [endMs] and sets the time to it. */
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
