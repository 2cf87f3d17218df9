package org.chalkhollow.runtime

import org.chalkhollow.peer.PeerConnectionListener
import org.slf4j.Logger

/**
 * Logs when connections between controllers open and end, and counts failed calls for the metrics. Repeated failures
 * to connect are logged once until a connection is open again.
 */
internal class PeerConnectionMonitor(private val log: Logger, private val metrics: Metrics, peers: List<String>) :
    PeerConnectionListener {
    private val failingSinceMs = HashMap<String, Long>()

    init {
        peers.forEach(metrics::addPeer)
    }

    override fun onConnected(peer: String) {
        metrics.peer(peer).isConnected = true
        val sinceMs = failingSinceMs.remove(peer)
        if (sinceMs == null) return log.info("connected to {}", peer)
        log.info("connected to {} after {} ms of failed attempts", peer, SystemClocks.monotonicMs() - sinceMs)
    }

    override fun onAccepted(peer: String) {
        metrics.peer(peer).isAccepted = true
        log.info("{} has connected to this controller", peer)
    }

    override fun onConnectFailed(peer: String, reason: String) {
        metrics.peer(peer).connectFailures++
        if (failingSinceMs.putIfAbsent(peer, SystemClocks.monotonicMs()) != null) return
        log.warn("cannot connect to {}: {}; retrying, which is not logged again", peer, reason)
    }

    override fun onDisconnected(peer: String, reason: String) {
        metrics.peer(peer).isConnected = false
        log.warn("the connection to {} ended: {}", peer, reason)
    }

    override fun onAcceptedClosed(peer: String, reason: String) {
        metrics.peer(peer).isAccepted = false
        log.warn("the connection from {} ended: {}", peer, reason)
    }

    override fun onMessageLost(peer: String) {
        metrics.peer(peer).lostMessages++
    }
}
