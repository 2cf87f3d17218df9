package org.chalkhollow.core.cluster

/**
 * Holds whether our messages have lately reached one machine, and the proofs of that in its present epoch. Only
 * `MachineReachability`, which says what a proof is, and `WorkerCommandSender`, whose commands are probes, change it.
 */
class Reachability {
    var reachable = false
        private set

    /** The last proof in this epoch. */
    var provedAtMs = Machine.NEVER
        private set

    /** When a direct command, whose reply would be a proof, was last sent in this epoch. */
    var probedAtMs = Machine.NEVER
        private set

    /** Since when the machine sends heartbeats and is not [reachable]; [Machine.NEVER] while it is. */
    var unreachableSinceMs = Machine.NEVER
        private set

    /** Proofs and probes of an earlier epoch say nothing about this one. */
    fun beginEpoch() {
        provedAtMs = Machine.NEVER
        probedAtMs = Machine.NEVER
    }

    fun recordProof(now: Long) {
        provedAtMs = now
    }

    fun recordProbe(now: Long) {
        probedAtMs = now
    }

    /** Sets [reachable]; returns whether it changed. */
    fun update(isReachable: Boolean, now: Long): Boolean {
        val changed = isReachable != reachable
        reachable = isReachable
        if (isReachable) {
            unreachableSinceMs = Machine.NEVER
        } else if (unreachableSinceMs == Machine.NEVER) {
            unreachableSinceMs = now
        }
        return changed
    }
}
