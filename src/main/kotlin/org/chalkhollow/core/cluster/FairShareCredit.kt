package org.chalkhollow.core.cluster

/**
 * Owns when tasks of a job were last placed, and the credit that the job gets for being passed over. All times are
 * wall-clock times, because a new leader counts from the stored time at which the job was accepted. Written by
 * `StarvationPrevention`.
 */
class FairShareCredit(acceptedWallMs: Long) {
    /** CPUs that the job may allocate before jobs without credit; 0 without credit. */
    var cpus = 0.0
        private set

    /** Since when the job has had credit; meaningful only while [cpus] is not 0. */
    var sinceWallMs = 0L
        private set

    /** When this leader last placed a task of the job, or when the job was accepted if it placed none. */
    var lastPlacedWallMs = acceptedWallMs
        private set

    /** When the job last had no pending tasks, or when it was accepted. */
    private var allPlacedWallMs = acceptedWallMs

    /**
     * Whether the job has had pending tasks for longer than [MAX_WAIT_FOR_RESERVED_MS]. It may then use capacity that
     * is reserved for other work. Without this limit, in an earlier version, tasks stayed pending indefinitely although
     * machines had free capacity.
     */
    fun hasWaitedLong(wallMs: Long): Boolean = wallMs - allPlacedWallMs > MAX_WAIT_FOR_RESERVED_MS

    fun grant(cpus: Double, sinceWallMs: Long) {
        this.cpus = cpus
        this.sinceWallMs = sinceWallMs
    }

    /** Tasks with [placedCpus] CPUs in total were placed, which reduces the credit. */
    fun placed(placedCpus: Double, wallMs: Long) {
        lastPlacedWallMs = wallMs
        cpus = maxOf(0.0, cpus - placedCpus)
    }

    /** The job has no pending tasks. */
    fun allPlaced(wallMs: Long) {
        allPlacedWallMs = wallMs
    }

    private companion object {
        const val MAX_WAIT_FOR_RESERVED_MS = 60_000L
    }
}
