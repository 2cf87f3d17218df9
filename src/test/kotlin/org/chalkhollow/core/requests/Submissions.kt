package org.chalkhollow.core.requests

import org.chalkhollow.core.common.UserRequest
import org.chalkhollow.wire.Pack

/** Builds bodies of submissions for tests. */
object Submissions {
    fun body(id: String, vararg changes: Pair<String, Any?>): ByteArray =
        Pack.encode(
            mapOf(
                "nameId" to id,
                "workload" to "w",
                "owner" to "red",
                "shape" to "batch",
                "urgency" to "high",
                "pieces" to 2,
                "vcpus" to 1.0,
                "cards" to 0.0,
                "memoryGb" to 1.0,
                "bundle" to "i",
                "pullGb" to 1.0,
                "together" to false,
                "spread" to false,
                "standby" to false,
                "expectedS" to 5.0,
                "snapshotS" to 0.0,
                "flushS" to 0.0,
            ) + changes,
        )

    /** Bodies that are malformed in different ways, but whose job id can be read. */
    fun malformed(id: String): List<ByteArray> =
        listOf(
            body(id, "pieces" to 0),
            body(id, "bundle" to null),
            body(id, "vcpus" to "many"),
            body(id).let { it.copyOf(it.size - 5) },
            body(id) + 1,
            body(id).copyOf(20),
        )

    fun submission(body: ByteArray): UserRequest =
        checkNotNull(UserRequest.ofSubmission(body)) {
            "submission without a job id"
        }
}
