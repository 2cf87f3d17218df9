package org.chalkhollow.core.common

/** Inputs that are dropped without an effect, and why; [metric] names the counter among the metrics. */
enum class DroppedInput(val metric: String) {
    /** A worker's heartbeat that is older than another of the same epoch that was handled. */
    HEARTBEAT_LATE("reports_late"),

    /** A worker's heartbeat that was handled before. */
    HEARTBEAT_REPEATED("reports_repeated"),

    /** A heartbeat of an epoch that is over, or of a machine that is gone. */
    HEARTBEAT_OTHER_INCARNATION("reports_other_life"),

    /** A reply to a call that was made in an earlier term, or that is of no use any more. */
    REPLY_LATE("replies_late"),

    /** A reply to a call that has had one, or that was never made. */
    REPLY_REPEATED("replies_repeated"),

    /** A controller's response for which nobody waits any more, or its message about a fencing token that is over. */
    MESSAGE_LATE("frames_late"),

    /** A controller's message that was handled before. */
    MESSAGE_REPEATED("frames_repeated"),

    /** A controller's response to a request that this incarnation has not sent. */
    MESSAGE_OTHER_INCARNATION("frames_other_life"),
}

/** Counts the dropped inputs of one controller since its process began. Whoever drops an input counts it here. */
class DroppedInputs {
    private val counts = LongArray(DroppedInput.entries.size)

    fun count(input: DroppedInput) {
        counts[input.ordinal]++
    }

    fun counts(): Map<DroppedInput, Long> = DroppedInput.entries.associateWith { counts[it.ordinal] }
}
