package org.chalkhollow.core.leadership

/** Why a leader steps down. [description] goes to the log. */
sealed interface StepDownReason {
    val description: String

    /** Reasons that this controller finds without looking at anybody's record. */
    enum class Local(override val description: String) : StepDownReason {
        REFUSED_BY_STATE_SERVICE("the state service serves others but not this controller"),
        NOT_REACHED_BY_WORKERS("workers reach other controllers but not this one"),
        RECORD_MISSING("the leadership record is gone"),
        ATTEMPT_NUMBERS_EXHAUSTED("attempt numbers are used up"),
        UNANSWERED_COMMANDS("a higher fencing token is needed to resolve direct starts without a reply"),
    }

    /** The leadership record is not the one that this leader wrote last. */
    class Superseded(private val record: LeadershipRecord) : StepDownReason {
        override val description: String
            get() = "the leadership record is held by ${record.owner} with fencing token ${record.fencingToken}"
    }
}
