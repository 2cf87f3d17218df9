package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.Input
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.common.StateReply
import org.chalkhollow.model.KeyValue
import org.chalkhollow.model.KeyValuePage
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class CandidateSnapshotTest {
    @Test
    fun `pages that were read for an earlier revision of the record are not part of the snapshot`() {
        val context = CoreContext(1).also { it.now = Now(0, 0) }
        var completed = 0
        val snapshot = CandidateSnapshot(context, listOf("x/", "y/")) { completed++ }

        fun replyPage(vararg keys: String, more: Boolean = false) {
            val request = context.drain().filterIsInstance<Effect.State>().last()
            val page = KeyValuePage(keys.map { KeyValue(it, "v", 1) }, more)
            context.reply(Input.State(request.ticket, StateReply.Page(page)))
        }
        snapshot.begin(7)
        replyPage("x/1", more = true)
        snapshot.begin(8)
        replyPage("x/1", "x/2")
        assertFalse(snapshot.isComplete(8), "complete before the last prefix was read")
        replyPage("y/1")
        assertTrue(snapshot.isComplete(8), "incomplete although all pages were read")
        assertFalse(snapshot.isComplete(7), "complete for an earlier revision")
        assertEquals(listOf("x/1", "x/2", "y/1"), snapshot.take(8).map { it.key })
        assertEquals(1, completed, "number of completions")
    }
}
