package org.chalkhollow.core.leadership

/** The label and the incarnation of this controller, and the labels of its [peers]. */
class ControllerIdentity(val label: String, val incarnation: Long, val peers: List<String>) {
    /** How many controllers, including this one, make a majority. */
    val majority = majorityWith(peers.size)

    /** How many peers campaign before this controller when several could do so at once. */
    val rank = peers.count { it < label }
}

/** How many controllers make a majority of a controller and its [peerCount] peers. */
internal fun majorityWith(peerCount: Int): Int = (peerCount + 1) / 2 + 1
