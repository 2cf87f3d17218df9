package org.chalkhollow.runtime

/** The state of the connections to one other controller, and counts since this process started. */
internal class PeerMetrics {
    /** Whether the connection that this controller opens to the peer is open. */
    var isConnected = false

    /** Whether the connection that the peer opens to this controller is open. */
    var isAccepted = false

    /** Attempts to connect that were refused or had no reply. */
    var connectFailures = 0L

    /** Messages that were dropped because no connection could take them. */
    var lostMessages = 0L

    /** The metrics in the text format of Prometheus, for the controller named [label]. */
    fun text(label: String): String =
        buildString {
            val controller = "controller=\"$label\""
            appendLine("chalkhollow_peer_connected{$controller,opened_by=\"self\"} ${if (isConnected) 1 else 0}")
            appendLine("chalkhollow_peer_connected{$controller,opened_by=\"peer\"} ${if (isAccepted) 1 else 0}")
            appendLine("chalkhollow_peer_connect_failures_total{$controller} $connectFailures")
            appendLine("chalkhollow_peer_messages_lost_total{$controller} $lostMessages")
        }
}
