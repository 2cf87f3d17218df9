package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.common.plusClockDrift
import org.chalkhollow.settings.OperatorSettings
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tests which leases and votes a controller may grant after its earlier ones, also after a restart. */
class GrantedFollowerLeaseTest {
    private val context = CoreContext(1)
    private val options = OperatorSettings(followerLeaseMs = 1_800)
    private val earlierGrantsUntilMs = plusClockDrift(options.followerLeaseMs)
    private val lease = GrantedFollowerLease(context, options, processStartedAtMs = 0)

    private fun at(ms: Long) = lease.also { context.now = Now(ms, ms) }

    @Test
    fun `no vote is granted while an earlier incarnation's lease may be valid`() {
        assertFalse(at(earlierGrantsUntilMs - 1).mayVote)
        assertTrue(at(earlierGrantsUntilMs).mayVote)
    }

    @Test
    fun `no lease is granted before a record was requested after all earlier votes had expired`() {
        at(earlierGrantsUntilMs + 100).onRecordRead(requestedAtMs = earlierGrantsUntilMs - 1)
        assertFalse(lease.grant(5))
        lease.onRecordRead(requestedAtMs = earlierGrantsUntilMs)
        assertTrue(lease.grant(5))
    }

    @Test
    fun `a granted lease forbids votes until it expires or is released`() {
        at(5_000).onRecordRead(requestedAtMs = 5_000)
        lease.grant(5)
        assertFalse(at(5_000 + options.followerLeaseMs - 1).mayVote)
        assertTrue(at(5_000 + options.followerLeaseMs).mayVote)
        lease.grant(5)
        assertTrue(lease.isBinding)
        lease.release()
        assertTrue(lease.mayVote)
    }

    @Test
    fun `a vote forbids leases for older fencing tokens until a newer record shows that the campaign failed`() {
        at(5_000).onRecordRead(requestedAtMs = 5_000)
        lease.onVoted(fencingToken = 7, revision = 40)
        assertFalse(lease.grant(6))
        lease.onRecordChanged(LeadershipRecord("a", 1, 6, 3), revision = 40)
        assertFalse(lease.grant(6), "the record is the one that was voted on")
        lease.onRecordChanged(LeadershipRecord("a", 1, 6, 4), revision = 41)
        assertEquals(listOf(false, true), listOf(lease.grant(5), lease.grant(6)))
    }
}
