package org.chalkhollow.core.operations

import org.chalkhollow.peer.PeerMessage

/**
 * Owns which versions the controllers run, as far as each has said; that of a peer that has said nothing yet is not
 * known.
 */
class ControllerVersions(private val label: String, private val peers: List<String>) {
    private val heard = arrayOfNulls<Int>(peers.size)

    /** A peer has said who it is; a version before this was told counts as 0. */
    fun greeted(peer: Int, hello: PeerMessage.Hello) {
        heard[peer] = hello.version
    }

    /** By label, this controller's first; null is not known. */
    val all: Map<String, Int?> get() =
        mapOf<String, Int?>(label to PeerMessage.VERSION) +
            peers.indices.associate { peers[it] to heard[it] }

    /** Whether every controller is known to run this version or a newer one. */
    val allNew: Boolean get() = heard.all { it != null && it >= PeerMessage.VERSION }
}
