package org.chalkhollow.core.cluster

/**
 * Holds why one machine takes no new tasks although it is up, and since when it idles. `ScaleIn` drains, cordons and
 * notes idling; `Fleet` takes in spot notices and ends the quarantine that `WorkerCommandSender` begins.
 */
class Availability {
    /** It failed the tasks of several jobs and is deleted once it is empty. */
    var draining = false
        private set

    /** It takes no new tasks while the others have room enough, so that it can be deleted. */
    var cordoned = false
        private set

    /** Its heartbeats are not answered, so that its epoch ends: only then is it certain what it will not do. */
    var quarantined = false
        private set

    /** When the cloud reclaims it; [Machine.NEVER] without a spot notice. */
    var reclaimAtMs = Machine.NEVER
        private set
    var idleSinceMs = Machine.NEVER
        private set

    val hasSpotNotice: Boolean get() = reclaimAtMs != Machine.NEVER

    /** Whether all that runs on it has to end or to move elsewhere. */
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

    fun recordSpotNotice(at: Long) {
        reclaimAtMs = at
    }

    fun withdrawSpotNotice() {
        reclaimAtMs = Machine.NEVER
    }

    /** Whether the machine idles at [now]. */
    fun recordIdle(idle: Boolean, now: Long) {
        if (!idle) {
            idleSinceMs = Machine.NEVER
        } else if (idleSinceMs == Machine.NEVER) {
            idleSinceMs = now
        }
    }
}
