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

    /** The leader of [fencingToken] asks for a promise not to stand against it for a while; also its heartbeat. */
    @Serializable
    @SerialName("promise?")
    data class FollowerLeaseRequest(
        @SerialName("generation") val fencingToken: Long,
        val seq: Long,
        val ready: Boolean,
    ) : PeerMessage

    /**
     * The answer to [FollowerLeaseRequest]; [stateServed] says whether the state service has lately served this peer,
     * [heartbeats] how many workers' reports have lately come to it, [prepared] whether it has read all that a new
     * leader has to know.
     */
    @Serializable
    @SerialName("promise")
    data class FollowerLeaseResponse(
        @SerialName("generation") val fencingToken: Long,
        val seq: Long,
        val granted: Boolean,
        val stateServed: Boolean,
        @SerialName("reports") val heartbeats: Int = 0,
        val prepared: Boolean = false,
    ) : PeerMessage

    /** The leader of [fencingToken] gives it up: promises made to it bind no longer. */
    @Serializable
    @SerialName("release")
    data class LeadershipRelease(
        @SerialName("generation") val fencingToken: Long,
    ) : PeerMessage

    /** A candidate that saw leadership record [revision] go stale asks for a vote for [fencingToken]. */
    @Serializable
    @SerialName("vote?")
    data class VoteRequest(
        @SerialName("generation") val fencingToken: Long,
        @SerialName("stamp") val revision: Long,
        val seq: Long,
    ) : PeerMessage

    @Serializable
    @SerialName("vote")
    data class VoteResponse(
        @SerialName("generation") val fencingToken: Long,
        val seq: Long,
        val granted: Boolean,
    ) : PeerMessage

    /** A user's request passed on to the leader. */
    @Serializable
    @SerialName("forward")
    class ForwardedRequest(val seq: Long, val kind: Int, val jobId: String, val body: ByteArray) : PeerMessage

    /** The leader's answer to a [ForwardedRequest]. */
    @Serializable
    @SerialName("forwarded")
    class ForwardedResponse(val seq: Long, val status: Int, val body: ByteArray, val retryAfterS: Int) : PeerMessage

    companion object {
        /** Raised when what controllers write or say changes; see docs/compatibility.md. */
        const val VERSION = 1
    }
}
