package org.chalkhollow.peer

import kotlin.time.Duration.Companion.milliseconds

/**
 * The open connections between this controller and one peer, at most one in each direction, and the choice of the one
 * on which messages to the peer are sent. While one cannot be used, messages go on the other: a packet filter may
 * refuse the connections of one side only, and a connection that is open on this side may have no effect on the other.
 */
internal class PeerLink {
    /** The connection that this controller opened. */
    var opened: PeerConnection? = null

    /** The connection that the peer opened. Null also if the peer does not read on connections that it opens. */
    var accepted: PeerConnection? = null

    /** The peer's last hello on any connection; null before the first one. */
    var hello: PeerMessage.Hello? = null

    /**
     * Whether the peer reads on connections that it opened, and answers every hello with its own. Older versions
     * do neither.
     */
    val isTwoWay: Boolean get() = (hello?.version ?: 0) >= PeerMessage.TWO_WAY_VERSION

    /** The connection on which to send now; null if none is open. */
    fun sendingConnection(): PeerConnection? {
        val opened = opened ?: return accepted
        val accepted = accepted ?: return opened
        val acceptedIsBetter = !opened.heardWithin(MAX_SILENCE) && accepted.heardWithin(MAX_SILENCE)
        return if (acceptedIsBetter) accepted else opened
    }

    companion object {
        /** How often a controller sends a hello on each connection that it opened to a peer that answers. */
        val HELLO_INTERVAL = 1000.milliseconds

        /** A connection without any frame for longer is avoided: two hellos in a row had no answer. */
        val MAX_SILENCE = 2500.milliseconds

        /** A connection that this controller opened is opened anew when nothing has arrived on it for this long. */
        val RECONNECT_AFTER_SILENCE = 6000.milliseconds
    }
}
