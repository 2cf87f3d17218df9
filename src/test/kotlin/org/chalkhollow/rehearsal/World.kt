package org.chalkhollow.rehearsal

import java.util.PriorityQueue
import java.util.SplittableRandom

/** Virtual time: what is to happen, in order, and one seeded source of chance for everything that does. */
class World(seed: Long) {
    private class Event(val at: Long, val order: Long, val run: () -> Unit)

    private val queue = PriorityQueue<Event>(compareBy({ it.at }, { it.order }))
    private var order = 0L
    val random = SplittableRandom(seed)

    /** Milliseconds since the world began. */
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

/** How the messages between two ends fare: delays, losses, and cuts that hold messages back. */
class Network(private val world: World) {
    private val cuts = HashMap<Set<String>, Cut>()

    class Cut(val until: Long, val holds: Boolean)

    /** Chance that a message is lost outright, and that it comes much later than its sender waits. */
    var loss = 0.002
    var late = 0.002

    fun cut(a: String, b: String, forMs: Long, holds: Boolean) {
        cuts[setOf(a, b)] = Cut(world.time + forMs, holds)
    }

    /** Stops what goes from [from] to [to], while the other direction works. */
    fun cutOneWay(from: String, to: String, forMs: Long) {
        oneWay[from to to] = Cut(world.time + forMs, holds = false)
    }

    private val oneWay = HashMap<Pair<String, String>, Cut>()

    /** How often a message is delivered once more, and how much later at most. */
    var copies = 0.0
    var copiesMs = 40_000L

    /** How often a direct command, or its answer, is held up for seconds and then goes on its way. */
    var held = 0.0

    /** How long a direct command or its answer is held up now; mostly not at all. */
    fun holdUp(): Long = if (held > 0 && world.chance(held)) world.between(heldMs.first, heldMs.last) else 0

    var heldMs = 2000L..9000L

    /** Whether a message is to be delivered once more, and when. */
    fun copyAfter(): Long? = if (copies > 0 && world.chance(copies)) world.between(1, copiesMs) else null

    /** Delivers [run] at [to], or not. */
    fun send(from: String, to: String, run: () -> Unit) {
        val cut =
            (cuts[setOf(from, to)] ?: oneWay[from to to])?.takeIf { it.until > world.time }
                ?: oneWay[from to to]?.takeIf { it.until > world.time }
        if (cut != null) {
            if (cut.holds) world.after(cut.until - world.time + world.between(1, 50), run)
            return
        }
        if (world.chance(loss)) return
        val delay = if (world.chance(late)) world.between(2000, 30_000) else world.between(1, 12)
        world.after(delay, run)
    }
}
