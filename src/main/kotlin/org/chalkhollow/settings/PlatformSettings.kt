package org.chalkhollow.settings

import org.chalkhollow.model.Team

/** A network address as `host:port`. */
data class Address(val host: String, val port: Int) {
    override fun toString() = "$host:$port"

    companion object {
        /** The ports that can be connected to. */
        val PORTS = 1..65_535
    }
}

/** Another controller of the cluster. */
data class Peer(val label: String, val address: Address)

/**
 * Budget and limits of the state service: requests and writes a second, bytes of a value, and conditions and changes of
 * one compare-and-swap.
 */
data class StateLimits(val rps: Double, val writeRps: Double, val valueBytes: Int, val txnOps: Int) {
    /** The smaller of each limit of this and of [other]. */
    fun coerceAtMost(other: StateLimits) =
        StateLimits(
            minOf(rps, other.rps),
            minOf(writeRps, other.writeRps),
            minOf(valueBytes, other.valueBytes),
            minOf(txnOps, other.txnOps),
        )
}

/**
 * A service-level objective on how soon a class of jobs should start or finish: a [share] of the jobs of [workload],
 * or of all jobs when that is null, within [withinS] seconds or [deadlineFactor] their expected duration.
 */
data class Objective(
    val kind: String,
    val workload: String?,
    val withinS: Double?,
    val share: Double,
    val deadlineFactor: Double = 1.0,
)

/**
 * What the platform hands to every controller; [PlatformSettingsParser] reads it. Names that end in `S` are seconds,
 * in `Ms` milliseconds, in `Rps` requests a second.
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
    /** What this controller keeps within: the smaller of the limits that hold now and those that will. */
    val stateLimits: StateLimits,
    val cloudRps: Double,
    val listLagS: Double,
    val maxConnections: Int,
    val skewMs: Double,
    /** What the state service takes now, and what versions before `next` keep within. */
    val currentStateLimits: StateLimits = stateLimits,
)
