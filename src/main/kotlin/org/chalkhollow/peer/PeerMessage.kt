package org.chalkhollow.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The messages between controllers; each is one CBOR frame. The serial names are those of the first version and stay,
 * since controllers of different versions talk to each other; see docs/compatibility.md.
 */
@Serializable
sealed interface PeerMessage {
    /**
     * The first frame on a connection: the caller's label, its incarnation and its [VERSION], which is 0 for versions
     * that did not send one.
     */
    @Serializable
    @SerialName("hello")
    data class Hello(val label: String, val incarnation: Long, val version: Int = 0) : PeerMessage

    /** The leader of [fencingToken] asks for a follower lease; also its heartbeat. */
    @Serializable
    @SerialName("promise?")
    data class FollowerLeaseRequest(
        @SerialName("generation") val fencingToken: Long,
        val seq: Long,
        val ready: Boolean,
    ) : PeerMessage

    /**
     * The answer to [FollowerLeaseRequest]; [stateServed] says whether the state service has lately served this peer,
     * [heartbeats] how many workers' heartbeats have lately come to it, [prepared] whether it has read all that a new
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

    /** The leader of [fencingToken] steps down: follower leases granted to it end. */
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

    /** The answer to the [VoteRequest] numbered [seq]. */
    @Serializable
    @SerialName("vote")
    data class VoteResponse(
        @SerialName("generation") val fencingToken: Long,
        val seq: Long,
        val granted: Boolean,
    ) : PeerMessage

    /** A user's request that a follower passes on to the leader. */
    @Serializable
    @SerialName("forward")
    class ForwardedRequest(val seq: Long, val kind: Int, val jobId: String, val body: ByteArray) : PeerMessage

    /** The leader's answer to a [ForwardedRequest]. */
    @Serializable
    @SerialName("forwarded")
    class ForwardedResponse(val seq: Long, val status: Int, val body: ByteArray, val retryAfterS: Int) : PeerMessage

    companion object {
        /** Raised when stored records or messages between controllers change; see docs/compatibility.md. */
        const val VERSION = 1
    }
}
