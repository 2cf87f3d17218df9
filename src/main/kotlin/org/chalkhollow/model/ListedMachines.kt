package org.chalkhollow.model

/** A machine in the cloud inventory, rented [ageS] seconds ago. */
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

/** A page of the cloud inventory; [more] says whether more machines follow. */
data class ListedPage(val machines: List<ListedMachine>, val more: Boolean)
