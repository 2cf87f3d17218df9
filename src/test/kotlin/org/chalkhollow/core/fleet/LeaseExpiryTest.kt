package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Now
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class LeaseExpiryTest {
    private val gone = ArrayList<String>()
    private val events =
        object : MachineEvents {
            override fun onMachineGone(machine: Machine) {
                gone.add(machine.name)
            }

            override fun onNewEpoch(machine: Machine, hadShownCurrentFencingToken: Boolean) = Unit
        }
    private val context = CoreContext(1).also { it.now = Now(0, 0) }
    private val table = MachineTable(context, Interners(), LEASE_MS, events).also { it.start(1) }
    private val expiry = LeaseExpiry(context, table, events, LEASE_MS)

    private fun runAt(time: Long) {
        context.now = Now(time, time)
        expiry.run()
    }

    @Test
    fun `a lease expires with the drift of clocks and a margin after the last answer, and its epoch with it`() {
        val machine = table.getOrAdd("n-1")
        machine.markUp()
        machine.lease.beginEpoch(1)
        machine.lease.renew(1, 1000)
        runAt(1000 + LEASE_MS + 515)
        assertEquals(emptyList<String>(), gone)
        runAt(1000 + LEASE_MS + 516)
        assertEquals(listOf("n-1"), gone)
        assertEquals(Machine.State.LOST, machine.state)
        assertTrue(machine.lease.hasEnded(1))
    }

    @Test
    fun `an earlier leader may have answered until we took over`() {
        table.getOrAdd("n-1").markUp()
        runAt(LEASE_MS + 515)
        assertEquals(emptyList<String>(), gone)
        runAt(LEASE_MS + 516)
        assertEquals(listOf("n-1"), gone)
    }

    @Test
    fun `the first lease to expire is not missed beside others that were renewed`() {
        val renewed = table.getOrAdd("n-1").also { it.markUp() }
        table.getOrAdd("n-2").markUp()
        renewed.lease.renew(1, 5000)
        runAt(100)
        runAt(LEASE_MS + 516)
        assertEquals(listOf("n-2"), gone)
    }

    private companion object {
        const val LEASE_MS = 8000L
    }
}
