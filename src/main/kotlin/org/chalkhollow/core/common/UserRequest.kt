package org.chalkhollow.core.common

import org.chalkhollow.model.JobSpec
import org.chalkhollow.wire.MalformedMessageException
import org.chalkhollow.wire.UserCodec

/** A user's request about one job. */
sealed interface UserRequest {
    val jobId: String

    /** Submits a job; [raw] is the received body, which a follower forwards to the leader. */
    class Submit(val spec: JobSpec, val raw: ByteArray) : UserRequest {
        override val jobId get() = spec.id
    }

    /**
     * A malformed submission whose [jobId] can be read; [reason] says what is wrong. It is never accepted. It is
     * rejected only once it is certain that it does not repeat the submission of a job that was accepted.
     */
    class Invalid(override val jobId: String, val raw: ByteArray, val reason: String?) : UserRequest

    /** Requests the state and progress of a job. */
    class Query(override val jobId: String) : UserRequest

    /** Cancels a job. */
    class Cancel(override val jobId: String) : UserRequest

    companion object {
        /** How long a user who got status 503 is to wait before retrying. */
        const val RETRY_AFTER_S = 1

        /** Decodes [body] as a submission; null if it is malformed and contains no job id. */
        fun ofSubmission(body: ByteArray): UserRequest? =
            try {
                Submit(UserCodec.job(body), body)
            } catch (e: MalformedMessageException) {
                UserCodec.findJobId(body)?.let { Invalid(it, body, e.message) }
            }
    }
}
