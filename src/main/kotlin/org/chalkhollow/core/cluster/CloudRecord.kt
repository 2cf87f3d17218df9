package org.chalkhollow.core.cluster

import org.chalkhollow.model.ListedMachine

/** Holds what the cloud said of one machine, as `CloudInventory` and `ScaleOut` read it. */
class CloudRecord(createdAtMs: Long) {
    /** When the machine was asked for, by our clock. */
    var createdAtMs = createdAtMs
        private set

    /** When a list last had the machine. */
    var listedAtMs = Machine.NEVER
        private set
    var failed = false
        private set
    private var starting = false

    val isListed: Boolean get() = listedAtMs != Machine.NEVER

    /** Whether the machine should be sending heartbeats by what the cloud says. */
    val isListedUp: Boolean get() = isListed && !starting && !failed

    fun recordCreated(at: Long) {
        createdAtMs = at
    }

    fun recordListed(status: ListedMachine.Status, now: Long) {
        listedAtMs = now
        failed = status == ListedMachine.Status.FAILED
        starting = status == ListedMachine.Status.STARTING
    }
}
