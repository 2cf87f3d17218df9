package org.chalkhollow.core.leadership

/** Why a candidate may take over the leadership record. [description] goes to the log. */
enum class CampaignReason(val description: String) {
    ELECTED_BY_PEERS("elected by peers"),

    /** There are no peers whose votes could be asked for. */
    ONLY_CONTROLLER("this is the only controller"),

    /** The record has outlived every lease by which a leader could still be entitled. */
    RECORD_UNCHANGED("the leadership record has outlived every lease"),
    NO_RECORD("there is no leadership record yet"),
    LED_BEFORE("this controller led before"),
}
