package org.chalkhollow.core

import org.chalkhollow.core.cluster.Machine
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test

class EventDispatcherTest {
    @Test
    fun `an event before the targets are bound is an error and not lost in silence`() {
        assertThrows(IllegalStateException::class.java) { EventDispatcher().onMachineGone(Machine(0, "n-1")) }
    }
}
