package org.chalkhollow.model

/** A machine as the cloud lists it; [ageS] is how many seconds ago it was rented. */
data class ListedMachine(
    val name: String,
    val address: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val status: Status,
    val ageS: Double,
) {
    enum class Status { STARTING, RUNNING, FAILED }
}

/** A page of the cloud's machine list; [more] says whether others follow. */
data class ListedPage(val machines: List<ListedMachine>, val more: Boolean)
