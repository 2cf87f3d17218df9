package org.chalkhollow.core.common

import org.chalkhollow.model.JobSpec
import org.chalkhollow.wire.MalformedMessageException
import org.chalkhollow.wire.UserCodec

/** What a user asks of one job. */
sealed interface UserRequest {
    val jobId: String

    /** Submits a job; [raw] is the body as it came, which is forwarded to the leader. */
    class Submit(val spec: JobSpec, val raw: ByteArray) : UserRequest {
        override val jobId get() = spec.id
    }

    /**
     * A malformed submission whose [jobId] can be read; [reason] says what is wrong. It is never accepted. It is
     * rejected only once it is certain that it does not repeat the submission of a job that was accepted.
     */
    class Invalid(override val jobId: String, val raw: ByteArray, val reason: String?) : UserRequest

    /** Asks for the state and progress of a job. */
    class Query(override val jobId: String) : UserRequest

    /** Cancels a job. */
    class Cancel(override val jobId: String) : UserRequest

    companion object {
        /** After how many seconds a user who got 503 may repeat the request. */
        const val RETRY_AFTER_S = 1

        /** What [body] asks as a submission, or null when it is malformed and names no job. */
        fun ofSubmission(body: ByteArray): UserRequest? =
            try {
                Submit(UserCodec.job(body), body)
            } catch (e: MalformedMessageException) {
                UserCodec.idIn(body)?.let { Invalid(it, body, e.message) }
            }
    }
}
