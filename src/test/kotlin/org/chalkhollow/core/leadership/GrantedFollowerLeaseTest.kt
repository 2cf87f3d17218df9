package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.common.plusClockDrift
import org.chalkhollow.settings.OperatorSettings
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** What a controller may grant after what it has granted before, and after what it may have forgotten. */
class GrantedFollowerLeaseTest {
    private val context = CoreContext(1)
    private val options = OperatorSettings(followerLeaseMs = 1_800)
    private val forgottenUntil = plusClockDrift(options.followerLeaseMs)
    private val lease = GrantedFollowerLease(context, options, processStartedAt = 0)

    private fun at(moment: Long) = lease.also { context.now = Now(moment, moment) }

    @Test
    fun `no vote is given while an earlier incarnation's lease may bind`() {
        assertFalse(at(forgottenUntil - 1).mayVote)
        assertTrue(at(forgottenUntil).mayVote)
    }

    @Test
    fun `no lease is granted before a record was requested after all forgotten votes had run out`() {
        at(forgottenUntil + 100).onRecordRead(requestedAt = forgottenUntil - 1)
        assertFalse(lease.grant(5))
        lease.onRecordRead(requestedAt = forgottenUntil)
        assertTrue(lease.grant(5))
    }

    @Test
    fun `a lease that was granted forbids votes until it expires or is released`() {
        at(5_000).onRecordRead(requestedAt = 5_000)
        lease.grant(5)
        assertFalse(at(5_000 + options.followerLeaseMs - 1).mayVote)
        assertTrue(at(5_000 + options.followerLeaseMs).mayVote)
        lease.grant(5)
        assertTrue(lease.isBinding)
        lease.release()
        assertTrue(lease.mayVote)
    }

    @Test
    fun `a vote forbids leases for older fencing tokens until a newer record shows that it came to nothing`() {
        at(5_000).onRecordRead(requestedAt = 5_000)
        lease.voted(fencingToken = 7, revision = 40)
        assertFalse(lease.grant(6))
        lease.onRecordChanged(LeadershipRecord("a", 1, 6, 3), revision = 40)
        assertFalse(lease.grant(6), "the record is the one that was voted on")
        lease.onRecordChanged(LeadershipRecord("a", 1, 6, 4), revision = 41)
        assertEquals(listOf(false, true), listOf(lease.grant(5), lease.grant(6)))
    }
}
