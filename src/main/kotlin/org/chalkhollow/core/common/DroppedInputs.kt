package org.chalkhollow.core.common

/** Reasons why an input is dropped without an effect; [metric] is part of the name of the counter in the metrics. */
enum class DroppedInput(val metric: String) {
    /** A heartbeat that is older than one of the same epoch that was handled. */
    HEARTBEAT_LATE("reports_late"),

    /** A heartbeat that was handled before. */
    HEARTBEAT_REPEATED("reports_repeated"),

    /** A heartbeat of an epoch that has ended, or of a machine that is gone. */
    HEARTBEAT_OTHER_INCARNATION("reports_other_life"),

    /** A reply to a call of an earlier term, or one that is no longer needed. */
    REPLY_LATE("replies_late"),

    /** A reply to a call that already had one, or that was never made. */
    REPLY_REPEATED("replies_repeated"),

    /**
     * A controller's response that nothing waits for any more, or its message about a fencing token that is no longer
     * current.
     */
    MESSAGE_LATE("frames_late"),

    /** A controller's message that was handled before. */
    MESSAGE_REPEATED("frames_repeated"),

    /** A controller's response to a request that this incarnation did not send. */
    MESSAGE_OTHER_INCARNATION("frames_other_life"),
}

/** Counts the dropped inputs of one controller since its process started. Code that drops an input counts it here. */
class DroppedInputs {
    private val counts = LongArray(DroppedInput.entries.size)

    fun count(input: DroppedInput) {
        counts[input.ordinal]++
    }

    fun counts(): Map<DroppedInput, Long> = DroppedInput.entries.associateWith { counts[it.ordinal] }
}
