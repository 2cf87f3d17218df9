package org.chalkhollow.peer

/** Callbacks for the connections to the other controllers; `peer` is the other controller's label. */
interface PeerConnectionListener {
    /** The connection that this controller opens to [peer] is open. */
    fun onConnected(peer: String)

    /** [peer] has opened a connection to this controller and has sent its hello. */
    fun onAccepted(peer: String)

    /** An attempt to connect to [peer] failed for [reason]; it is repeated. */
    fun onConnectFailed(peer: String, reason: String)

    /** The connection that this controller opened to [peer] ended for [reason]; it is opened again. */
    fun onDisconnected(peer: String, reason: String)

    /** The connection that [peer] opened to this controller ended for [reason]. */
    fun onAcceptedClosed(peer: String, reason: String)

    /** A message to [peer] was dropped, because no connection to it was open or its queue was full. */
    fun onMessageLost(peer: String)
}
