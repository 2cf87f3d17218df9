package org.chalkhollow.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What controllers say to each other; every message is one CBOR frame. */
@Serializable
sealed interface PeerMessage {
    /**
     * The first frame on a connection: who is calling, which life of it, and which [VERSION]; 0 are those that did not
     * tell.
     */
    @Serializable
    @SerialName("hello")
    data class Hello(val label: String, val incarnation: Long, val version: Int = 0) : PeerMessage

    /** The leader of [generation] asks for a promise not to stand against it for a while; also its heartbeat. */
    @Serializable
    @SerialName("promise?")
    data class PromiseAsk(val generation: Long, val seq: Long, val ready: Boolean) : PeerMessage

    /**
     * The answer to [PromiseAsk]; [stateServed] says whether the state service has lately served this peer, [reports]
     * how many workers' reports have lately come to it, [prepared] whether it has read all that a new leader has to
     * know.
     */
    @Serializable
    @SerialName("promise")
    data class Promise(
        val generation: Long,
        val seq: Long,
        val granted: Boolean,
        val stateServed: Boolean,
        val reports: Int = 0,
        val prepared: Boolean = false,
    ) : PeerMessage

    /** The leader of [generation] gives it up: promises made to it bind no longer. */
    @Serializable
    @SerialName("release")
    data class Release(val generation: Long) : PeerMessage

    /** A candidate that saw leadership record [stamp] go stale asks for a vote for [generation]. */
    @Serializable
    @SerialName("vote?")
    data class VoteAsk(val generation: Long, val stamp: Long, val seq: Long) : PeerMessage

    @Serializable
    @SerialName("vote")
    data class Vote(val generation: Long, val seq: Long, val granted: Boolean) : PeerMessage

    /** A user's request passed on to the leader. */
    @Serializable
    @SerialName("forward")
    class Forward(val seq: Long, val kind: Int, val jobId: String, val body: ByteArray) : PeerMessage

    /** The leader's answer to a [Forward]. */
    @Serializable
    @SerialName("forwarded")
    class Forwarded(val seq: Long, val status: Int, val body: ByteArray, val retryAfterS: Int) : PeerMessage

    companion object {
        /** Raised when what controllers write or say changes; see docs/compatibility.md. */
        const val VERSION = 1
    }
}
