package org.chalkhollow.core.operations

import org.chalkhollow.peer.PeerMessage

/**
 * Owns which versions the controllers run, as far as each has said; that of a peer that has said nothing yet is not
 * known. Called by the controller with each peer's first message on a connection.
 */
class ControllerVersions(private val label: String, private val peers: List<String>) {
    /** By the peer's index. */
    private val known = arrayOfNulls<Int>(peers.size)

    /** A peer has introduced itself; one from before versions were sent counts as 0. */
    fun onHello(peer: Int, hello: PeerMessage.Hello) {
        known[peer] = hello.version
    }

    /** By label, this controller's first; null is not known. */
    val byLabel: Map<String, Int?> get() =
        mapOf<String, Int?>(label to PeerMessage.VERSION) +
            peers.indices.associate { peers[it] to known[it] }

    /** Whether every controller is known to run this version or a newer one. */
    val allUpToDate: Boolean get() = known.all { it != null && it >= PeerMessage.VERSION }
}
