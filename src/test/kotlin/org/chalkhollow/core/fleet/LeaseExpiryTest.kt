package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Now
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** If a lease expired too early, tasks that still run on the machine would be started again elsewhere. */
class LeaseExpiryTest {
    private val goneMachines = ArrayList<String>()
    private val events =
        object : MachineEvents {
            override fun onMachineGone(machine: Machine) {
                goneMachines.add(machine.name)
            }

            override fun onNewEpoch(machine: Machine, hadSentCurrentFencingToken: Boolean) = Unit
        }
    private val context = CoreContext(1).also { it.now = Now(0, 0) }
    private val table = MachineTable(context, Interners(), LEASE_MS, events).also { it.start(1) }
    private val expiry = LeaseExpiry(context, table, events, LEASE_MS)

    private fun expireAt(nowMs: Long) {
        context.now = Now(nowMs, nowMs)
        expiry.expireDue()
    }

    @Test
    fun `a lease and its epoch expire after its length, clock drift and a margin without a response`() {
        val machine = table.getOrAdd("n-1")
        machine.markUp()
        machine.lease.beginEpoch(1)
        machine.lease.renew(1, 1000)
        expireAt(1000 + LEASE_MS + 515)
        assertEquals(emptyList<String>(), goneMachines)
        expireAt(1000 + LEASE_MS + 516)
        assertEquals(listOf("n-1"), goneMachines)
        assertEquals(Machine.State.LOST, machine.state)
        assertTrue(machine.lease.hasEnded(1))
    }

    @Test
    fun `a lease counts from the start of the term, since an earlier leader may have responded until then`() {
        table.getOrAdd("n-1").markUp()
        expireAt(LEASE_MS + 515)
        assertEquals(emptyList<String>(), goneMachines)
        expireAt(LEASE_MS + 516)
        assertEquals(listOf("n-1"), goneMachines)
    }

    @Test
    fun `the first lease to expire is found when others were renewed`() {
        val renewed = table.getOrAdd("n-1").also { it.markUp() }
        table.getOrAdd("n-2").markUp()
        renewed.lease.renew(1, 5000)
        expireAt(100)
        expireAt(LEASE_MS + 516)
        assertEquals(listOf("n-2"), goneMachines)
    }

    private companion object {
        const val LEASE_MS = 8000L
    }
}
