package org.chalkhollow.core.operations

import org.chalkhollow.peer.PeerMessage
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The versions that the controllers tell each other. */
class ControllerVersionsTest {
    @Test
    fun `an upgrade is over once every peer has told a version as new as ours`() {
        val versions = ControllerVersions("a", listOf("b", "c"))
        assertFalse(versions.allUpToDate)
        versions.onHello(0, PeerMessage.Hello("b", 1, PeerMessage.VERSION))
        versions.onHello(1, PeerMessage.Hello("c", 1))
        assertFalse(versions.allUpToDate)
        assertEquals(mapOf("a" to PeerMessage.VERSION, "b" to PeerMessage.VERSION, "c" to 0), versions.byLabel)
        versions.onHello(1, PeerMessage.Hello("c", 2, PeerMessage.VERSION + 1))
        assertTrue(versions.allUpToDate)
        versions.onHello(0, PeerMessage.Hello("b", 3))
        assertFalse(versions.allUpToDate)
    }
}
