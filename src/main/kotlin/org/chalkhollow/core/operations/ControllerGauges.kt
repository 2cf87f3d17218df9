package org.chalkhollow.core.operations

import org.chalkhollow.core.common.DroppedInput

/** Numbers for gauges, and which version each controller runs as far as known. */
data class ControllerGauges(
    /** Whether this controller is entitled to act as the leader. */
    val isLeading: Boolean,
    val fencingToken: Long,
    val openJobs: Int,
    /** Jobs that this controller knows, open or over. */
    val knownJobs: Int,
    val machines: Int,
    /** By the controller's label; null while the version of a peer is unknown. */
    val versions: Map<String, Int?> = emptyMap(),
    val replicas: ReplicaCounts = ReplicaCounts(wanted = 0, up = 0),
    /** How many inputs were dropped since this process began. */
    val dropped: Map<DroppedInput, Long> = emptyMap(),
)

/** Replicas of all services, as the leader knows. */
data class ReplicaCounts(val wanted: Int, val up: Int)
