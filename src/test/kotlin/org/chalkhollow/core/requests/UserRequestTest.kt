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

/** What a body says as a submission. */
class UserRequestTest {
    @Test
    fun `a submission without an id that can be read is refused at once`() {
        val all = body("j-000001")
        val none =
            listOf(
                byteArrayOf(),
                byteArrayOf(1),
                Pack.encode(listOf("nameId", "j-000001")),
                body("412"),
                body("j-"),
                body("j-1", "nameId" to 7),
                body("j-1", "nameId" to null),
                all.copyOf(8),
                byteArrayOf(0xc1.toByte()),
            )
        for (bad in none) assertNull(UserRequest.ofSubmission(bad))
        assertTrue(UserRequest.ofSubmission(all) is UserRequest.Submit)
        for (bad in malformed("j-000001")) {
            assertEquals("j-000001", (UserRequest.ofSubmission(bad) as UserRequest.Invalid).jobId)
        }
    }

    @Test
    fun `bytes of any kind are a submission or none, and never an error`() {
        val random = SplittableRandom(3)
        val good = body("j-000001")
        var unreadable = 0
        repeat(20_000) {
            val bytes = good.copyOf(random.nextInt(good.size + 1))
            repeat(random.nextInt(4)) {
                if (bytes.isNotEmpty()) bytes[random.nextInt(bytes.size)] = random.nextInt(256).toByte()
            }
            if (UserRequest.ofSubmission(bytes) is UserRequest.Invalid) unreadable++
        }
        assertTrue(unreadable > 5000, "only $unreadable named a job")
    }
}
