package org.chalkhollow.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The messages between controllers; each is one CBOR frame. The serial names must not change, because controllers of
 * different versions exchange messages; see docs/compatibility.md.
 */
@Serializable
sealed interface PeerMessage {
    /**
     * The first frame on a connection: the sender's label, incarnation and [VERSION]. Versions that did not send their
     * version count as 0. From [TWO_WAY_VERSION] on, a controller repeats it on connections that it opened, and
     * answers it with its own on the same connection.
     */
    @Serializable
    @SerialName("hello")
    data class Hello(val label: String, val incarnation: Long, val version: Int = 0) : PeerMessage

    /**
     * The leader of [fencingToken] requests a follower lease. Followers take the request as a sign that the leader is
     * alive; [ready] says whether it has loaded the stored records.
     */
    @Serializable
    @SerialName("promise?")
    data class FollowerLeaseRequest(
        @SerialName("generation") val fencingToken: Long,
        val seq: Long,
        val ready: Boolean,
    ) : PeerMessage

    /**
     * The response to the [FollowerLeaseRequest] numbered [seq]. [stateServed] says whether the state service replied
     * to this follower within about two renewal intervals of the leader lease. [heartbeats] counts the workers'
     * heartbeats that the follower received within the last 6 s. [prepared] says whether the follower has a complete
     * snapshot and could lead at once.
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

    /** The leader of [fencingToken] steps down; follower leases granted to it end. */
    @Serializable
    @SerialName("release")
    data class LeadershipRelease(
        @SerialName("generation") val fencingToken: Long,
    ) : PeerMessage

    /**
     * A candidate requests a vote to become the leader of [fencingToken], because the leadership record was not renewed
     * since [revision].
     */
    @Serializable
    @SerialName("vote?")
    data class VoteRequest(
        @SerialName("generation") val fencingToken: Long,
        @SerialName("stamp") val revision: Long,
        val seq: Long,
    ) : PeerMessage

    /** The response to the [VoteRequest] numbered [seq]. */
    @Serializable
    @SerialName("vote")
    data class VoteResponse(
        @SerialName("generation") val fencingToken: Long,
        val seq: Long,
        val granted: Boolean,
    ) : PeerMessage

    /** A user's request that a follower forwards to the leader. */
    @Serializable
    @SerialName("forward")
    class ForwardedRequest(val seq: Long, val kind: Int, val jobId: String, val body: ByteArray) : PeerMessage

    /** The leader's response to the [ForwardedRequest] numbered [seq]. */
    @Serializable
    @SerialName("forwarded")
    class ForwardedResponse(val seq: Long, val status: Int, val body: ByteArray, val retryAfterS: Int) : PeerMessage

    companion object {
        /** Increased when stored records or messages between controllers change; see docs/compatibility.md. */
        const val VERSION = 2

        /** From this version on, both ends of a connection between controllers send and receive. */
        const val TWO_WAY_VERSION = 2
    }
}
