package org.chalkhollow.core.common

/** What is dropped without an effect, and why; [metric] names it among the metrics. */
enum class DroppedInput(val metric: String) {
    /** A worker's report that is older than one of the same session that was taken. */
    HEARTBEAT_LATE("reports_late"),

    /** A worker's report that was taken before. */
    HEARTBEAT_REPEATED("reports_repeated"),

    /** A report of a session that is over, or of a machine that is gone. */
    HEARTBEAT_OTHER_INCARNATION("reports_other_life"),

    /** A reply to a call that was made in an earlier term, or that is of no use any more. */
    REPLY_LATE("replies_late"),

    /** A reply to a call that has had one, or that was never made. */
    REPLY_REPEATED("replies_repeated"),

    /** A controller's answer that comes when nobody waits for it any more, or its word of a generation that is over. */
    MESSAGE_LATE("frames_late"),

    /** A controller's message that was taken before. */
    MESSAGE_REPEATED("frames_repeated"),

    /** A controller's answer to what this life of ours has not asked. */
    MESSAGE_OTHER_INCARNATION("frames_other_life"),
}

/** Counts the dropped inputs of one controller. Whoever drops an input counts it here. */
class DroppedInputs {
    private val counts = LongArray(DroppedInput.entries.size)

    fun count(input: DroppedInput) {
        counts[input.ordinal]++
    }

    fun counts(): Map<DroppedInput, Long> = DroppedInput.entries.associateWith { counts[it.ordinal] }
}
