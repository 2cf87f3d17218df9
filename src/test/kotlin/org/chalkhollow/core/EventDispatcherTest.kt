package org.chalkhollow.core

import org.chalkhollow.core.cluster.Machine
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test

class EventDispatcherTest {
    @Test
    fun `an event before bind throws instead of being lost`() {
        assertThrows(IllegalStateException::class.java) { EventDispatcher().onMachineGone(Machine(0, "n-1")) }
    }
}
