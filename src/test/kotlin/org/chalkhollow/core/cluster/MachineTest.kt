package org.chalkhollow.core.cluster

import org.chalkhollow.model.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class MachineTest {
    private val machine = Machine(0, "n-1")

    @Test
    fun `marking a machine as lost ends its epoch`() {
        machine.lease.beginEpoch(2)
        machine.markUp()
        machine.markLost(since = 500)
        assertEquals(Machine.State.LOST to 500L, machine.state to machine.lostAtMs)
        assertTrue(machine.lease.hasEnded(2))
    }

    @Test
    fun `rounding errors of earlier allocations do not reduce the free capacity`() {
        val capacity = Resources(4.0, 0.0, 16.0)
        val inexact = Resources(0.1, 0.0, 0.7)
        repeat(3) { machine.usage.allocate(inexact) }
        assertTrue(machine.busy)
        repeat(3) { machine.usage.release(inexact) }
        assertFalse(machine.busy)
        machine.usage.allocate(Resources(1.0, 0.0, 1.0))
        assertEquals(Resources(3.0, 0.0, 15.0), machine.usage.freeOf(capacity))
    }

    @Test
    fun `idle and unreachable times count from the first observation`() {
        machine.availability.recordIdle(idle = true, now = 10)
        machine.availability.recordIdle(idle = true, now = 20)
        assertEquals(10, machine.availability.idleSinceMs)
        machine.availability.recordIdle(idle = false, now = 30)
        assertEquals(Machine.NEVER, machine.availability.idleSinceMs)

        assertFalse(machine.reachability.update(isReachable = false, now = 10))
        assertFalse(machine.reachability.update(isReachable = false, now = 20))
        assertEquals(10, machine.reachability.unreachableSinceMs)
        assertTrue(machine.reachability.update(isReachable = true, now = 30))
        assertEquals(Machine.NEVER, machine.reachability.unreachableSinceMs)
    }

    @Test
    fun `a machine that is cordoned, drained, quarantined or about to be reclaimed accepts no tasks`() {
        fun acceptsAfter(change: Availability.() -> Unit) = Availability().apply(change).acceptsTasks
        assertTrue(acceptsAfter { })
        assertFalse(acceptsAfter { cordon() })
        assertFalse(acceptsAfter { drain() })
        assertFalse(acceptsAfter { quarantine() })
        assertFalse(acceptsAfter { recordSpotNotice(1000) })
        assertTrue(
            acceptsAfter {
                cordon()
                quarantine()
                recordSpotNotice(1000)
                uncordon()
                endQuarantine()
                withdrawSpotNotice()
            },
        )
    }
}
