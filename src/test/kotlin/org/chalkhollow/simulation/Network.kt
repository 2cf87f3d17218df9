package org.chalkhollow.simulation

/** Delivers messages between two ends, with random delays and losses, and with cuts of links. */
class Network(private val clock: VirtualClock) {
    private val cuts = HashMap<Set<String>, Cut>()

    /** A cut of a link. With [deliversLater], messages are delivered when it ends; otherwise they are lost. */
    class Cut(val untilMs: Long, val deliversLater: Boolean)

    /** Probability that a message is lost. */
    var lossProbability = 0.002

    /** Probability that a message arrives 2 to 30 s late, mostly after the sender's time-out. */
    var lateProbability = 0.002

    /** Cuts the link between [a] and [b] in both directions. */
    fun cut(a: String, b: String, forMs: Long, deliversLater: Boolean) {
        cuts[setOf(a, b)] = Cut(clock.timeMs + forMs, deliversLater)
    }

    /** Loses all messages from [from] to [to]; the other direction works. */
    fun cutOneWay(from: String, to: String, forMs: Long) {
        oneWayCuts[from to to] = Cut(clock.timeMs + forMs, deliversLater = false)
    }

    private val oneWayCuts = HashMap<Pair<String, String>, Cut>()

    /** Probability that a message is delivered twice. */
    var copyProbability = 0.0

    /** The longest delay of a message's copy. */
    var maxCopyDelayMs = 40_000L

    /** Probability that a direct command, or its reply, is held up for [holdMs] before it is sent on. */
    var holdProbability = 0.0

    /** Draws how long a direct command or its reply is held up; 0 if it is not. */
    fun drawHoldMs(): Long =
        if (holdProbability > 0 &&
            clock.chance(holdProbability)
        ) {
            clock.between(holdMs.first, holdMs.last)
        } else {
            0
        }

    /** The shortest and the longest time for which a direct command or its reply is held up. */
    var holdMs = 2000L..9000L

    /** Draws the delay after which a message is delivered a second time; null if it is delivered once. */
    fun drawCopyDelayMs(): Long? =
        if (copyProbability > 0 &&
            clock.chance(copyProbability)
        ) {
            clock.between(1, maxCopyDelayMs)
        } else {
            null
        }

    /** Sends a message from [from] to [to]; [run] is called when it arrives, and never if it is lost. */
    fun send(from: String, to: String, run: () -> Unit) {
        val cut =
            (cuts[setOf(from, to)] ?: oneWayCuts[from to to])?.takeIf { it.untilMs > clock.timeMs }
                ?: oneWayCuts[from to to]?.takeIf { it.untilMs > clock.timeMs }
        if (cut != null) {
            if (cut.deliversLater) clock.after(cut.untilMs - clock.timeMs + clock.between(1, 50), run)
            return
        }
        if (clock.chance(lossProbability)) return
        val delayMs = if (clock.chance(lateProbability)) clock.between(2000, 30_000) else clock.between(1, 12)
        clock.after(delayMs, run)
    }
}
