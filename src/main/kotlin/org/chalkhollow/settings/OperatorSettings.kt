package org.chalkhollow.settings

/**
 * What operators may tune beyond the platform's file; every field has a default, and docs/settings.md lists them.
 * The defaults are what every measurement in docs/ was taken with unless it says otherwise.
 */
data class OperatorSettings(
    /** Machines that a placement looks at first. */
    val sampleSize: Int = 64,
    /** How long a renewal of the leadership lease is good for. */
    val leaderLeaseMs: Long = 3500,
    /** How often the leadership lease is renewed. */
    val leaderRenewMs: Long = 700,
    /** How long a peer's promise not to stand for leadership lasts. */
    val promiseMs: Long = 3000,
    /** How long a leader may go on through an outage of the state service on the strength of promises alone. */
    val outageLimitMs: Long = 120_000,
    /** How long a rented machine may idle before it is returned. */
    val idleReturnS: Double = 60.0,
    /** Share of what the guarantees allow that is kept free for work to come, in CPUs of the largest type. */
    val spareMachines: Int = 1,
    /** Most machines that may be rented at once. */
    val maxMachines: Int = 1000,
)
