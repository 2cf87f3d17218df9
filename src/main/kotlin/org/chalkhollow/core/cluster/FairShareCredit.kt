package org.chalkhollow.core.cluster

/**
 * Owns when a job was last served, and the credit that it has for having been passed over. All moments are by the time
 * of day, since a new leader goes on counting from [acceptedWallMs]. Written by `StarvationPrevention` and, for
 * [allPlaced], by `PlacementRound`.
 */
class FairShareCredit(acceptedWallMs: Long) {
    /** CPUs that the job is given before others; zero without credit. */
    var cpus = 0.0
        private set

    /** From when on the job has had credit, if it has any. */
    var sinceWallMs = 0L
        private set

    /** When this leader last placed a task of the job. */
    var lastPlacedWallMs = acceptedWallMs
        private set

    /** When nothing of the job was left waiting last. */
    private var allPlacedWallMs = acceptedWallMs

    /**
     * Whether some of the job has waited for so long that room kept for other work is no longer kept from it. An
     * earlier version kept it for ever, so that work waited beside machines with room for it.
     */
    fun hasWaitedLong(wallMs: Long): Boolean = wallMs - allPlacedWallMs > MAX_WAIT_BESIDE_KEPT_ROOM_MS

    fun grant(cpus: Double, sinceWallMs: Long) {
        this.cpus = cpus
        this.sinceWallMs = sinceWallMs
    }

    /** Tasks of [placedCpus] CPUs in all were placed, which uses up credit. */
    fun placed(placedCpus: Double, wallMs: Long) {
        lastPlacedWallMs = wallMs
        cpus = maxOf(0.0, cpus - placedCpus)
    }

    /** Nothing of the job is left waiting. */
    fun allPlaced(wallMs: Long) {
        allPlacedWallMs = wallMs
    }

    private companion object {
        const val MAX_WAIT_BESIDE_KEPT_ROOM_MS = 60_000L
    }
}
