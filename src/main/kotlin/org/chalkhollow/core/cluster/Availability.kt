package org.chalkhollow.core.cluster

/**
 * Holds the reasons why one machine accepts no new tasks although it is up, and since when it is idle. `ScaleIn`
 * drains, cordons and records idle machines. `Fleet` records spot termination notices and ends the quarantine that
 * `WorkerCommandSender` begins.
 */
class Availability {
    /** Whether tasks of several jobs failed on the machine. It is deleted once no attempt may be on it. */
    var draining = false
        private set

    /**
     * Whether it accepts no new tasks because the other machines have enough free capacity, so that it can be deleted.
     */
    var cordoned = false
        private set

    /**
     * Whether the leader does not respond to the machine's heartbeats, so that its lease expires. Only then are
     * attempts with unknown outcome confirmed absent.
     */
    var quarantined = false
        private set

    /** When the cloud reclaims the machine; [Machine.NEVER] without a spot termination notice. */
    var reclaimAtMs = Machine.NEVER
        private set

    /** [Machine.NEVER] while the machine is not idle. */
    var idleSinceMs = Machine.NEVER
        private set

    val hasSpotNotice: Boolean get() = reclaimAtMs != Machine.NEVER

    /** Whether all tasks on the machine have to end or to be restarted on other machines. */
    val isBeingEmptied: Boolean get() = draining || cordoned || hasSpotNotice

    val acceptsTasks: Boolean get() = !quarantined && !isBeingEmptied

    fun drain() {
        draining = true
    }

    fun cordon() {
        cordoned = true
    }

    fun uncordon() {
        cordoned = false
    }

    fun quarantine() {
        quarantined = true
    }

    fun endQuarantine() {
        quarantined = false
    }

    fun recordSpotNotice(newReclaimAtMs: Long) {
        reclaimAtMs = newReclaimAtMs
    }

    fun withdrawSpotNotice() {
        reclaimAtMs = Machine.NEVER
    }

    fun recordIdle(idle: Boolean, now: Long) {
        if (!idle) {
            idleSinceMs = Machine.NEVER
        } else if (idleSinceMs == Machine.NEVER) {
            idleSinceMs = now
        }
    }
}
