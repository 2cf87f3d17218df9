package org.chalkhollow.core.common

/**
 * Whether a controller accepts users' requests, which `GET /up` reports to the load balancer; [metric] is the value of
 * a label in the metrics.
 */
enum class Readiness(val metric: String, val accepts: Boolean, val description: String) {
    LEADING("leading", accepts = true, "this controller leads"),
    LEADER_IN_CONTACT("leader_in_contact", accepts = true, "the leader is in contact"),
    NO_LEADER_CONTACT("no_leader_contact", accepts = false, "no leader was heard from lately"),
    LEADER_NOT_RESPONDING(
        "leader_not_responding",
        accepts = false,
        "the leader is heard but does not respond to forwarded requests",
    ),
}
