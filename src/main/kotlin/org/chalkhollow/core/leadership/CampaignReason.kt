package org.chalkhollow.core.leadership

/** Why a candidate may write the leadership record. [description] is logged. */
enum class CampaignReason(val description: String) {
    ELECTED_BY_PEERS("elected by peers"),

    ONLY_CONTROLLER("this is the only controller"),

    /** The record is unchanged for longer than any lease on which a leader may still act. */
    RECORD_UNCHANGED("the leadership record is unchanged for longer than any lease"),
    NO_RECORD("there is no leadership record"),
    LED_BEFORE("this controller led the last term"),
}
