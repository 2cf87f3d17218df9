package org.chalkhollow.core.cluster

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class WorkerLeaseTest {
    private val lease = WorkerLease().also { it.beginEpoch(3) }

    @Test
    fun `a heartbeat that is not newer than one that got a response does not renew the lease`() {
        lease.renew(5, 1000)
        lease.renew(5, 2000)
        lease.renew(4, 3000)
        assertEquals(1000, lease.respondedAtMs)
        lease.renew(6, 4000)
        assertEquals(4000, lease.respondedAtMs)
    }

    @Test
    fun `a status from the reply to a direct command does not prevent an older heartbeat from renewing the lease`() {
        assertTrue(lease.advanceStatus(8))
        lease.renew(7, 1000)
        assertEquals(1000, lease.respondedAtMs)
        assertFalse(lease.advanceStatus(7), "its status is older than that of the reply")
    }

    @Test
    fun `an epoch has ended once a later one began or its lease expired`() {
        assertTrue(lease.hasEnded(2))
        assertFalse(lease.hasEnded(3))
        lease.expire()
        assertTrue(lease.hasEnded(3))
        assertFalse(lease.hasEnded(4))
    }

    @Test
    fun `sequence numbers start again with a new epoch`() {
        lease.renew(9, 1000)
        lease.advanceStatus(9)
        lease.beginEpoch(4)
        assertTrue(lease.advanceStatus(1))
        lease.renew(1, 2000)
        assertEquals(2000, lease.respondedAtMs)
    }
}
