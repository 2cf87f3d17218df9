package org.chalkhollow.core.operations

import org.chalkhollow.core.cluster.HoldReason
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.ForwardedCounts
import org.chalkhollow.core.common.Readiness

/** The values of the gauges and counters of one controller, and the known versions of all controllers. */
data class ControllerGauges(
    /** Whether this controller may act as the leader. */
    val isLeading: Boolean,
    val fencingToken: Long,
    val openJobs: Int,
    /** Number of all jobs that this controller knows: open, done and cancelled. */
    val knownJobs: Int,
    val machines: Int,
    /** By the controller's label; null while the version of a peer is unknown. */
    val versions: Map<String, Int?> = emptyMap(),
    val replicas: ReplicaCounts = ReplicaCounts(wanted = 0, up = 0),
    /** Number of dropped inputs since this process started. */
    val dropped: Map<DroppedInput, Long> = emptyMap(),
    /** Number of ready tasks by the reason why they are not started, as known to the leader. */
    val held: Map<HoldReason, Int> = emptyMap(),
    /** Whether this controller accepts users' requests, and why not. */
    val readiness: Readiness = Readiness.NO_LEADER_CONTACT,
    val forwarded: ForwardedCounts = ForwardedCounts(),
    /** The probes that find out whether the leader responds to forwarded requests. */
    val probes: ForwardedCounts = ForwardedCounts(),
)

/** Replicas of all services, as known to the leader. */
data class ReplicaCounts(val wanted: Int, val up: Int)
