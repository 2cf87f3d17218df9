package org.chalkhollow.core.requests

import org.chalkhollow.core.common.UserRequest
import org.chalkhollow.core.requests.Submissions.body
import org.chalkhollow.core.requests.Submissions.malformed
import org.chalkhollow.core.requests.Submissions.submission
import org.chalkhollow.wire.Pack
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.SplittableRandom

/** Decoding of submissions. */
class UserRequestTest {
    @Test
    fun `ofSubmission returns null only for submissions without a readable job id`() {
        val valid = body("j-000001")
        val withoutId =
            listOf(
                byteArrayOf(),
                byteArrayOf(1),
                Pack.encode(listOf("nameId", "j-000001")),
                body("412"),
                body("j-"),
                body("j-1", "nameId" to 7),
                body("j-1", "nameId" to null),
                valid.copyOf(8),
                byteArrayOf(0xc1.toByte()),
            )
        for (bad in withoutId) assertNull(UserRequest.ofSubmission(bad))
        assertTrue(UserRequest.ofSubmission(valid) is UserRequest.Submit)
        for (bad in malformed("j-000001")) {
            assertEquals("j-000001", (UserRequest.ofSubmission(bad) as UserRequest.Invalid).jobId)
        }
    }

    @Test
    fun `truncated and corrupted submissions decode without an exception`() {
        val random = SplittableRandom(3)
        val valid = body("j-000001")
        var invalid = 0
        repeat(20_000) {
            val bytes = valid.copyOf(random.nextInt(valid.size + 1))
            repeat(random.nextInt(4)) {
                if (bytes.isNotEmpty()) bytes[random.nextInt(bytes.size)] = random.nextInt(256).toByte()
            }
            if (UserRequest.ofSubmission(bytes) is UserRequest.Invalid) invalid++
        }
        assertTrue(invalid > 5000, "only $invalid malformed submissions had a readable job id")
    }
}
