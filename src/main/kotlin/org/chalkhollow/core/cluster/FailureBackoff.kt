package org.chalkhollow.core.cluster

import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap

/**
 * Owns how long a job's tasks are not placed because they fail: nowhere before [notBeforeMs], and not on machines where
 * one failed lately. Moments are by the steady clock. Written by `AttemptReconciler`, read by placement.
 */
class FailureBackoff {
    /** Nothing of the job is placed before this moment. */
    var notBeforeMs = 0L
        private set

    /** Failures since a task last completed, or a replica last ran for long. */
    var failures = 0
        private set

    /** When a task last failed on a machine, by machine. */
    private val failedAt = Int2LongOpenHashMap()

    /**
     * Whether a task failed on [machine] lately. What was wrong there may be over: an earlier version kept such a
     * machine from the job for good, and a job that had failed everywhere waited for ever beside machines with room.
     */
    fun avoids(machine: Int, now: Long): Boolean =
        failedAt.containsKey(machine) && now - failedAt.get(machine) < AVOID_MS

    /** Whether tasks failed on several machines lately. */
    fun failsOnSeveralMachines(now: Long): Boolean =
        failedAt.size >= SEVERAL_MACHINES && failedAt.values.count { now - it < AVOID_MS } >= SEVERAL_MACHINES

    /** Nothing is placed before [moment], nor before any moment that was named earlier. */
    fun pauseUntil(moment: Long) {
        notBeforeMs = maxOf(notBeforeMs, moment)
    }

    fun taskCompleted() {
        failures = 0
    }

    /**
     * A task failed on [machine]. One machine's faults should not hold a job up; a job that fails wherever it goes
     * waits longer and longer.
     */
    fun taskFailed(machine: Int, now: Long) {
        failedAt.put(machine, now)
        failures++
        if (failsOnSeveralMachines(now)) pauseUntil(now + backoffMs(failures / FAILURES_PER_DOUBLING))
    }

    /**
     * One of a service's [replicas] ended by itself on [machine], [placedForMs] after it was placed. It runs again
     * elsewhere, and later and later if that happens again and again.
     */
    fun replicaEnded(machine: Int, now: Long, placedForMs: Long, replicas: Int) {
        failedAt.put(machine, now)
        failures = if (placedForMs > STABLE_REPLICA_MS) 0 else failures + 1
        if (failures > replicas) notBeforeMs = now + backoffMs(failures / replicas)
    }

    private fun backoffMs(doublings: Int): Long = FIRST_BACKOFF_MS shl minOf(doublings, MAX_DOUBLINGS)

    private companion object {
        const val AVOID_MS = 45_000L
        const val SEVERAL_MACHINES = 3
        const val FIRST_BACKOFF_MS = 1000L

        /** A replica that lasted longer than this does not count as one that fails again and again. */
        const val STABLE_REPLICA_MS = 15_000L

        /** So many failures, wherever they were, double the wait, and the wait is doubled so many times at most. */
        const val FAILURES_PER_DOUBLING = 3
        const val MAX_DOUBLINGS = 5
    }
}
