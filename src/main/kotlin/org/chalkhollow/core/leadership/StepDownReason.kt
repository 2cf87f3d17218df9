package org.chalkhollow.core.leadership

/** Why a leader steps down. [description] is logged. */
sealed interface StepDownReason {
    val description: String

    /** Reasons that do not come from another controller's record. */
    enum class Local(override val description: String) : StepDownReason {
        NOT_SERVED_BY_STATE_SERVICE("the state service serves others but not this controller"),
        NOT_REACHED_BY_WORKERS("workers reach other controllers but not this one"),
        RECORD_MISSING("the leadership record does not exist"),
        ATTEMPT_NUMBERS_EXHAUSTED("attempt numbers are exhausted"),
        COMMANDS_WITHOUT_REPLY("a higher fencing token is needed to resolve direct starts without a reply"),
    }

    /** The leadership record differs from the one that this leader wrote last. */
    class Superseded(private val record: LeadershipRecord) : StepDownReason {
        override val description: String
            get() = "the leadership record is held by ${record.owner} with fencing token ${record.fencingToken}"
    }
}
