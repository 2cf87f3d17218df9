package org.chalkhollow.simulation

/** How the messages between two ends fare: delays, losses, and cuts that hold messages back. */
class Network(private val clock: VirtualClock) {
    private val cuts = HashMap<Set<String>, Cut>()

    class Cut(val until: Long, val holds: Boolean)

    /** Chance that a message is lost outright, and that it comes much later than its sender waits. */
    var loss = 0.002
    var late = 0.002

    fun cut(a: String, b: String, forMs: Long, holds: Boolean) {
        cuts[setOf(a, b)] = Cut(clock.time + forMs, holds)
    }

    /** Stops what goes from [from] to [to], while the other direction works. */
    fun cutOneWay(from: String, to: String, forMs: Long) {
        oneWay[from to to] = Cut(clock.time + forMs, holds = false)
    }

    private val oneWay = HashMap<Pair<String, String>, Cut>()

    /** How often a message is delivered once more, and how much later at most. */
    var copies = 0.0
    var copiesMs = 40_000L

    /** How often a direct command, or its answer, is held up for seconds and then goes on its way. */
    var held = 0.0

    /** How long a direct command or its answer is held up now; mostly not at all. */
    fun holdUp(): Long = if (held > 0 && clock.chance(held)) clock.between(heldMs.first, heldMs.last) else 0

    var heldMs = 2000L..9000L

    /** Whether a message is to be delivered once more, and when. */
    fun copyAfter(): Long? = if (copies > 0 && clock.chance(copies)) clock.between(1, copiesMs) else null

    /** Delivers [run] at [to], or not. */
    fun send(from: String, to: String, run: () -> Unit) {
        val cut =
            (cuts[setOf(from, to)] ?: oneWay[from to to])?.takeIf { it.until > clock.time }
                ?: oneWay[from to to]?.takeIf { it.until > clock.time }
        if (cut != null) {
            if (cut.holds) clock.after(cut.until - clock.time + clock.between(1, 50), run)
            return
        }
        if (clock.chance(loss)) return
        val delay = if (clock.chance(late)) clock.between(2000, 30_000) else clock.between(1, 12)
        clock.after(delay, run)
    }
}
