package org.chalkhollow.core.requests

/**
 * The outcomes of probes to one peer, and whether the peer counts as responding. One lost probe changes nothing. After
 * [MAX_FAILURES_IN_A_ROW] failures in a row, or [MAX_FAILURES] among the last [WINDOW], the peer does not respond; it
 * responds again after a number of successes in a row that doubles with each removal within [REMOVAL_MEMORY_MS], up to
 * [MAX_SUCCESSES], so that a link that comes and goes does not change the result every few seconds.
 */
internal class ProbeHistory {
    /** Whether the peer counts as responding. */
    var isResponding = true
        private set

    /** The last outcomes, the newest last; true for a response. */
    private val outcomes = ArrayDeque<Boolean>()
    private val removedAtMs = ArrayDeque<Long>()
    private var successesInARow = 0

    /** Forgets the outcomes, and counts the peer as responding until new ones show otherwise. */
    fun startOver() {
        isResponding = true
        outcomes.clear()
        successesInARow = 0
    }

    fun succeeded(nowMs: Long) {
        add(true)
        successesInARow++
        if (isResponding || successesInARow < requiredSuccesses(nowMs)) return
        isResponding = true
        outcomes.clear()
    }

    fun failed(nowMs: Long) {
        add(false)
        successesInARow = 0
        if (!isResponding || !hasFailedTooOften()) return
        isResponding = false
        removedAtMs.addLast(nowMs)
        if (removedAtMs.size > MAX_REMOVALS) removedAtMs.removeFirst()
    }

    private fun add(hasSucceeded: Boolean) {
        outcomes.addLast(hasSucceeded)
        if (outcomes.size > WINDOW) outcomes.removeFirst()
    }

    private fun hasFailedTooOften(): Boolean {
        val lastFailed = outcomes.size >= MAX_FAILURES_IN_A_ROW && outcomes.takeLast(MAX_FAILURES_IN_A_ROW).none { it }
        return lastFailed || outcomes.count { !it } >= MAX_FAILURES
    }

    private fun requiredSuccesses(nowMs: Long): Int {
        val recentRemovals = removedAtMs.count { nowMs - it < REMOVAL_MEMORY_MS }
        val doublings = (recentRemovals - 1).coerceIn(0, MAX_REMOVALS)
        return (MIN_SUCCESSES shl doublings).coerceAtMost(MAX_SUCCESSES)
    }

    companion object {
        const val WINDOW = 10
        const val MAX_FAILURES_IN_A_ROW = 3
        const val MAX_FAILURES = 5
        const val MIN_SUCCESSES = 5
        const val MAX_SUCCESSES = 40
        const val REMOVAL_MEMORY_MS = 120_000L
        private const val MAX_REMOVALS = 4
    }
}
