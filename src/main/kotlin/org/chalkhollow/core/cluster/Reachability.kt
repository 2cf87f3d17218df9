package org.chalkhollow.core.cluster

/**
 * Holds whether this controller's responses and commands reach one machine, and the last proof of that in its current
 * epoch. Only `MachineReachability`, which defines what a proof is, and `WorkerCommandSender`, whose commands serve as
 * probes, write it.
 */
class Reachability {
    var reachable = false
        private set

    /** When the machine was last proved reachable in this epoch. */
    var provedAtMs = Machine.NEVER
        private set

    /** When a direct command was last sent in this epoch; its reply would be a proof. */
    var probedAtMs = Machine.NEVER
        private set

    /** Since when the machine sends heartbeats without being [reachable]; [Machine.NEVER] while it is reachable. */
    var unreachableSinceMs = Machine.NEVER
        private set

    /** Discards proofs and probes of the previous epoch, since they say nothing about the new one. */
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
