package org.chalkhollow.core.cluster

/**
 * Why ready tasks of a job are not started. [metric] is the label in the metrics; [text] completes the sentence "the
 * tasks wait because ..." in the job report and in the log.
 */
enum class HoldReason(val metric: String, val text: String) {
    FAILURE_BACKOFF("failure_backoff", "its tasks fail, so they are tried again later or one at a time"),
    TEAM_LIMIT("team_limit", "its team is at its limit"),
    CREDIT_SHARE("credit_share", "the share of the fleet for jobs that were passed over is in use"),
    URGENT_HEADROOM("urgent_headroom", "the free capacity is kept for urgent jobs"),
    GANG_INCOMPLETE("gang_incomplete", "all tasks of a gang start at once, and not all of them may start now"),

    /** Capacity that is reserved for other work, or that the job's zone constraint excludes, does not count. */
    NO_CAPACITY("no_capacity", "no machine that it may use has capacity that is not reserved for other work"),

    /** One task alone exceeds the largest dispatch marker. */
    MARKER_ROW_TOO_LARGE("marker_row_too_large", "its dispatch marker row is larger than a value may be"),
    TRANSACTION_FULL("transaction_full", "its dispatch marker did not fit into the last transaction"),
    ATTEMPT_NUMBERS_EXHAUSTED("attempt_numbers", "the attempt numbers of this fencing token are used up"),
    MARKER_REJECTED("marker_rejected", "the state service rejected its dispatch marker"),

    MARKER_IN_FLIGHT("marker_in_flight", "its dispatch marker is being written to the state service"),

    /** Rounds are part of writes, and need processor time. */
    NO_ROUND("no_round", "no placement round has run lately, as writes or processor time are short"),
    ;

    /** Whether no rule about jobs, teams or machines holds the tasks back. */
    val isFault: Boolean get() = this >= MARKER_ROW_TOO_LARGE
}

/**
 * Owns why tasks of a job that could be started are not, and since when. Written by `Placement`. All times are
 * monotonic.
 */
class PlacementHold {
    /** The reason found last; null if no placement round has held any task back since the last start. */
    var reason: HoldReason? = null
        private set

    /** Number of tasks whose dispatch marker is being written; they are not ready. */
    var tasksInFlight = 0
        private set

    /** Since when no task of the job was dispatched although some could be; meaningful only while some could be. */
    var sinceMs = 0L
        private set

    /** Tasks are ready and not started for [newReason], found at [nowMs]. */
    fun hold(newReason: HoldReason, nowMs: Long) {
        beginAt(nowMs)
        reason = newReason
    }

    /** The write of the dispatch markers of [tasks] tasks begins at [nowMs]. */
    fun onDispatching(tasks: Int, nowMs: Long) {
        beginAt(nowMs)
        tasksInFlight += tasks
    }

    /** The dispatch markers of [tasks] tasks are durable since [nowMs]; [noneReady] if no other task is ready. */
    fun onDispatched(tasks: Int, noneReady: Boolean, nowMs: Long) {
        tasksInFlight -= tasks
        if (noneReady) reason = null
        sinceMs = nowMs
    }

    /** The state service rejected the dispatch markers of [tasks] tasks at [nowMs]; they are ready again. */
    fun onRejected(tasks: Int, nowMs: Long) {
        tasksInFlight -= tasks
        hold(HoldReason.MARKER_REJECTED, nowMs)
    }

    private fun beginAt(nowMs: Long) {
        if (reason == null && tasksInFlight == 0) sinceMs = nowMs
    }
}
