package org.chalkhollow.core.leadership

/** Who this controller is among its [peers]: its label, and the incarnation of its process. */
class ControllerIdentity(val label: String, val incarnation: Long, val peers: List<String>) {
    /** How many controllers, this one counted, are more than half of all. */
    val majority = majorityWith(peers.size)

    /** How many peers go before this controller when several could campaign at once. */
    val rank = peers.count { it < label }
}

/** How many controllers are more than half of all, when there are [peerCount] beside one. */
internal fun majorityWith(peerCount: Int): Int = (peerCount + 1) / 2 + 1
