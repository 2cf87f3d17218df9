package org.chalkhollow.core.cluster

import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap

/**
 * Delays the placement of a job's tasks after failures: on no machine before [notBeforeMs], and not on a machine where
 * one of them failed within [AVOID_MS]. All times are monotonic. Written by `AttemptReconciler`, read by placement.
 */
class FailureBackoff {
    var notBeforeMs = 0L
        private set

    /** Failures since a task last completed, or since a replica last ran for more than [STABLE_REPLICA_MS]. */
    var failures = 0
        private set

    /** When a task last failed on a machine, by machine id. */
    private val failedAtMs = Int2LongOpenHashMap()

    /**
     * Whether a task failed on [machine] within [AVOID_MS]. The fault may be gone afterwards. An earlier version
     * excluded such machines permanently, so a job that had failed on every machine stayed pending indefinitely.
     */
    fun avoids(machine: Int, now: Long): Boolean =
        failedAtMs.containsKey(machine) && now - failedAtMs.get(machine) < AVOID_MS

    /** Whether tasks failed on at least [SEVERAL_MACHINES] machines within [AVOID_MS]. */
    fun failsOnSeveralMachines(now: Long): Boolean =
        failedAtMs.size >= SEVERAL_MACHINES && failedAtMs.values.count { now - it < AVOID_MS } >= SEVERAL_MACHINES

    /** Delays placement until [untilMs]; never shortens an earlier delay. */
    fun pauseUntil(untilMs: Long) {
        notBeforeMs = maxOf(notBeforeMs, untilMs)
    }

    fun taskCompleted() {
        failures = 0
    }

    /**
     * A task failed on [machine]. A fault of one machine does not delay the job. A job that fails on several machines
     * is delayed with exponential backoff.
     */
    fun taskFailed(machine: Int, now: Long) {
        failedAtMs.put(machine, now)
        failures++
        if (failsOnSeveralMachines(now)) pauseUntil(now + backoffMs(failures / FAILURES_PER_DOUBLING))
    }

    /**
     * One of a service's [replicas] ended by itself on [machine], [placedForMs] after it was placed. It is restarted on
     * another machine, with exponential backoff once more than [replicas] have ended this way.
     */
    fun replicaEnded(machine: Int, now: Long, placedForMs: Long, replicas: Int) {
        failedAtMs.put(machine, now)
        failures = if (placedForMs > STABLE_REPLICA_MS) 0 else failures + 1
        if (failures > replicas) notBeforeMs = now + backoffMs(failures / replicas)
    }

    private fun backoffMs(doublings: Int): Long = FIRST_BACKOFF_MS shl minOf(doublings, MAX_DOUBLINGS)

    private companion object {
        const val AVOID_MS = 45_000L
        const val SEVERAL_MACHINES = 3
        const val FIRST_BACKOFF_MS = 1000L

        /** If a replica ends later than this after its placement, that is no failure and resets the count. */
        const val STABLE_REPLICA_MS = 15_000L

        /** The backoff doubles after this many failures, on whichever machines they were. */
        const val FAILURES_PER_DOUBLING = 3
        const val MAX_DOUBLINGS = 5
    }
}
