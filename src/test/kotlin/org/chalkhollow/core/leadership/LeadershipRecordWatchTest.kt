package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.Input
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.common.StateReply
import org.chalkhollow.settings.OperatorSettings
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class LeadershipRecordWatchTest {
    private val context = CoreContext(1)
    private val options = OperatorSettings(leaderRenewMs = 450)
    private val watch = LeadershipRecordWatch(context, options, startedAtMs = 0)
    private val record = LeadershipRecord("a", 1, 5, 9)
    private val requestTimesMs = ArrayList<Long>()

    private fun at(ms: Long) = watch.also { context.now = Now(ms, ms) }

    private fun readAt(ms: Long): List<Effect.State> {
        at(ms).readIfDue { requestedAtMs, _ -> requestTimesMs.add(requestedAtMs) }
        return context.drain().filterIsInstance<Effect.State>()
    }

    @Test
    fun `one read is in flight at a time, and the next is due a renewal period after the reply`() {
        val read = readAt(0).single()
        assertEquals(0, readAt(5_000).size)
        context.reply(Input.State(read.ticket, StateReply.Missing))
        assertEquals(listOf(0L), requestTimesMs)
        assertEquals(0, readAt(5_449).size)
        assertEquals(1, readAt(5_450).size)
    }

    @Test
    fun `the record counts as unchanged from when its revision was first seen`() {
        assertTrue(at(100).update(record, 7))
        assertFalse(at(900).update(record, 7))
        assertEquals(800, watch.unchangedMs())
        assertTrue(at(1_000).update(record, 8))
        assertEquals(0, watch.unchangedMs())
    }

    @Test
    fun `a release counts only for its leader, and only after the record was read again`() {
        at(1_000).onStateServiceReply()
        watch.onRelease(5)
        assertFalse(watch.isReleased(record, 0))
        at(1_001).onStateServiceReply()
        assertTrue(watch.isReleased(record, 0))
        assertFalse(watch.isReleased(record, 80), "the candidate's own delay has not passed")
        assertFalse(watch.isReleased(record.copy(fencingToken = 6), 0))
    }

    @Test
    fun `the state service counts as available for two renewal periods and a margin after a reply`() {
        assertFalse(at(0).isStateServiceAvailable)
        watch.onStateServiceReply()
        assertTrue(at(1_099).isRecentlyServed)
        assertFalse(at(1_100).isRecentlyServed)
        assertTrue(at(1_600).isStateServiceAvailable)
        assertFalse(at(1_601).isStateServiceAvailable)
    }
}
