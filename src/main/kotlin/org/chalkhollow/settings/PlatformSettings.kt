package org.chalkhollow.settings

import org.chalkhollow.model.Team

/** A network address as `host:port`. */
data class Address(val host: String, val port: Int) {
    override fun toString() = "$host:$port"

    companion object {
        /** Valid port numbers; port 0 cannot be connected to. */
        val PORTS = 1..65_535
    }
}

/** Another controller of the cluster. */
data class Peer(val label: String, val address: Address)

/**
 * Limits of the state service: requests per second, writes per second, the size of a value, and the number of
 * conditions and changes in one compare-and-swap.
 */
data class StateLimits(val rps: Double, val writeRps: Double, val valueBytes: Int, val txnOps: Int) {
    /** For each limit, the smaller of this and [other]. */
    fun coerceAtMost(other: StateLimits) =
        StateLimits(
            minOf(rps, other.rps),
            minOf(writeRps, other.writeRps),
            minOf(valueBytes, other.valueBytes),
            minOf(txnOps, other.txnOps),
        )

    /**
     * The size in bytes that a record which this program writes may have: [valueBytes], or less if such a value would
     * leave no space for the other changes of a transaction, which has 64 KiB altogether.
     */
    val recordBytes: Int get() = minOf(valueBytes, MAX_RECORD_BYTES)

    private companion object {
        const val MAX_RECORD_BYTES = 32 * 1024
    }
}

/**
 * A service-level objective: the fraction [share] of the jobs of class [workload], or of all jobs if that is null,
 * should start or finish within [withinS] seconds, or within [deadlineFactor] times the job's own deadline. [kind] says
 * which of these applies.
 */
data class Objective(
    val kind: String,
    val workload: String?,
    val withinS: Double?,
    val share: Double,
    val deadlineFactor: Double = 1.0,
)

/**
 * The settings that the platform passes to every controller, read by [PlatformSettingsParser]. Values are in seconds if
 * their name ends in `S`, in milliseconds if it ends in `Ms`, and in requests per second if it ends in `Rps`.
 */
data class PlatformSettings(
    val label: String,
    val location: String,
    val clientListen: Address,
    val peerAddress: Address,
    val peers: List<Peer>,
    val state: Address,
    val cloud: Address,
    val teams: List<Team>,
    val objectives: List<Objective>,
    val heartbeatIntervalS: Double,
    val workerLeaseS: Double,
    val cancelS: Double,
    /** The limits that this controller observes: the smaller of the current limits and those announced in `next`. */
    val stateLimits: StateLimits,
    val cloudRps: Double,
    val listLagS: Double,
    val maxConnections: Int,
    val skewMs: Double,
    /** The limits of the state service now. Versions that do not read `next` observe these. */
    val currentStateLimits: StateLimits = stateLimits,
)
