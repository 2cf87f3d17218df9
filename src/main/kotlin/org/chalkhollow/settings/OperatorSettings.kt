package org.chalkhollow.settings

/**
 * Optional settings for operators, in addition to the platform's settings; see docs/settings.md. Measurements in docs/
 * use the defaults unless they state otherwise.
 */
data class OperatorSettings(
    /** Placement first considers up to this many machines that have a task's image, and up to as many others. */
    val sampleSize: Int = 64,
    /** How long a renewal of the leader lease is valid. */
    val leaderLeaseMs: Long = 1500,
    /** Interval between renewals of the leader lease. */
    val leaderRenewMs: Long = 350,
    /** How long a follower lease lasts. The follower that granted it does not campaign or vote during that time. */
    val followerLeaseMs: Long = 1400,
    /** How long a leader may continue on follower leases alone while the state service is unavailable. */
    val outageLimitMs: Long = 120_000,
    /** How long a rented machine may be idle before it is scaled in; shorter for expensive machines. */
    val maxIdleS: Double = 35.0,
    /** Maximum cost of rented machines kept idle as a standby, as a fraction of the cost of the operator's machines. */
    val standbyCostFraction: Double = 1.0,
    /** Headroom for job classes that need prompt starts, in multiples of the mean CPU demand of their jobs. */
    val urgentHeadroomFactor: Double = 1.0,
    /** How long a job may be passed over for others before starvation prevention grants it credit. */
    val maxPassedOverS: Double = 200.0,
    /** CPUs that a credit covers, and that all jobs with credit may use together, as a fraction of all CPUs. */
    val creditCpuFraction: Double = 0.15,
    /** Number of idle rented machines that are kept for future jobs. */
    val spareMachines: Int = 0,
    /** Maximum number of machines; with 0, only the teams' limits bound the fleet. */
    val maxMachines: Int = 0,
)
