package org.chalkhollow.core.operations

import org.chalkhollow.peer.PeerMessage

/**
 * Owns the versions that the controllers run. The version of a peer is unknown until the peer sends it. Called by the
 * controller with each peer's first message on a connection.
 */
class ControllerVersions(private val label: String, private val peers: List<String>) {
    /** By peer index; null while unknown. */
    private val peerVersions = arrayOfNulls<Int>(peers.size)

    /** [peer] sent [hello]; a version of the program that did not send its version counts as 0. */
    fun onHello(peer: Int, hello: PeerMessage.Hello) {
        peerVersions[peer] = hello.version
    }

    /** The versions by controller label, this controller's first; null while unknown. */
    val byLabel: Map<String, Int?> get() =
        mapOf<String, Int?>(label to PeerMessage.VERSION) +
            peers.indices.associate { peers[it] to peerVersions[it] }

    /** Whether every controller is known to run this version or a newer one. */
    val allUpToDate: Boolean get() = peerVersions.all { it != null && it >= PeerMessage.VERSION }
}
