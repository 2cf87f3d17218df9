package org.chalkhollow.settings

/**
 * What operators may tune beyond the platform's file; every field has a default, and docs/settings.md lists them.
 * The defaults are what every measurement in docs/ was taken with unless it says otherwise.
 */
data class OperatorSettings(
    /** Machines that a placement looks at first. */
    val sampleSize: Int = 64,
    /** How long a renewal of the leader lease is good for. */
    val leaderLeaseMs: Long = 1500,
    /** How often the leader lease is renewed. */
    val leaderRenewMs: Long = 350,
    /** How long a follower lease lasts, for which a peer does not campaign. */
    val followerLeaseMs: Long = 1400,
    /** How long a leader may go on through an outage of the state service on follower leases alone. */
    val outageLimitMs: Long = 120_000,
    /** How long a rented machine may idle before it is scaled in; dearer ones go sooner. */
    val maxIdleS: Double = 35.0,
    /** What idle rented machines may cost, as a share of what the operator's own machines cost. */
    val standbyCostFraction: Double = 1.0,
    /** Headroom left free for classes whose users wait for starts, in multiples of the mean size of their jobs. */
    val urgentHeadroomFactor: Double = 1.0,
    /** How long a job may be passed over for others before starvation prevention gives it credit. */
    val maxPassedOverS: Double = 200.0,
    /** What that credit gives it, as a share of all CPUs. */
    val creditCpuFraction: Double = 0.15,
    /** Idle rented machines that are kept for jobs to come. */
    val spareMachines: Int = 0,
    /** Most machines at once; 0: as many as the teams' limits can use. */
    val maxMachines: Int = 0,
)
