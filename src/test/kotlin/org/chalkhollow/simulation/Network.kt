package org.chalkhollow.simulation

/** How the messages between two ends fare: delays, losses, and cuts that hold messages back. */
class Network(private val clock: VirtualClock) {
    private val cuts = HashMap<Set<String>, Cut>()

    class Cut(val untilMs: Long, val deliversLater: Boolean)

    /** Chance that a message is lost outright, and that it comes much later than its sender waits. */
    var lossProbability = 0.002
    var lateProbability = 0.002

    fun cut(a: String, b: String, forMs: Long, deliversLater: Boolean) {
        cuts[setOf(a, b)] = Cut(clock.timeMs + forMs, deliversLater)
    }

    /** Stops what goes from [from] to [to], while the other direction works. */
    fun cutOneWay(from: String, to: String, forMs: Long) {
        oneWayCuts[from to to] = Cut(clock.timeMs + forMs, deliversLater = false)
    }

    private val oneWayCuts = HashMap<Pair<String, String>, Cut>()

    /** How often a message is delivered once more, and how much later at most. */
    var copyProbability = 0.0
    var maxCopyDelayMs = 40_000L

    /** How often a direct command, or its answer, is held up for seconds and then goes on its way. */
    var holdProbability = 0.0

    /** How long a direct command or its answer is held up now; mostly not at all. */
    fun drawHoldMs(): Long =
        if (holdProbability > 0 &&
            clock.chance(holdProbability)
        ) {
            clock.between(holdMs.first, holdMs.last)
        } else {
            0
        }

    var holdMs = 2000L..9000L

    /** Whether a message is to be delivered once more, and when. */
    fun drawCopyDelayMs(): Long? =
        if (copyProbability > 0 &&
            clock.chance(copyProbability)
        ) {
            clock.between(1, maxCopyDelayMs)
        } else {
            null
        }

    /** Delivers [run] at [to], or not. */
    fun send(from: String, to: String, run: () -> Unit) {
        val cut =
            (cuts[setOf(from, to)] ?: oneWayCuts[from to to])?.takeIf { it.untilMs > clock.timeMs }
                ?: oneWayCuts[from to to]?.takeIf { it.untilMs > clock.timeMs }
        if (cut != null) {
            if (cut.deliversLater) clock.after(cut.untilMs - clock.timeMs + clock.between(1, 50), run)
            return
        }
        if (clock.chance(lossProbability)) return
        val delay = if (clock.chance(lateProbability)) clock.between(2000, 30_000) else clock.between(1, 12)
        clock.after(delay, run)
    }
}
