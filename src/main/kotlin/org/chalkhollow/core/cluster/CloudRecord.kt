package org.chalkhollow.core.cluster

import org.chalkhollow.model.ListedMachine

/** What the cloud inventory says about one machine. Written by `CloudInventory` and `ScaleOut`. */
class CloudRecord(createdAtMs: Long) {
    /** When the machine was requested, by this controller's monotonic clock. */
    var createdAtMs = createdAtMs
        private set

    /** When the cloud last listed the machine; [Machine.NEVER] if it never did. */
    var listedAtMs = Machine.NEVER
        private set
    var failed = false
        private set
    private var starting = false

    val isListed: Boolean get() = listedAtMs != Machine.NEVER

    /** Whether, according to the cloud, the machine should be sending heartbeats. */
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
