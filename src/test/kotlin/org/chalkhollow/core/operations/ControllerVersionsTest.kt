package org.chalkhollow.core.operations

import org.chalkhollow.peer.PeerMessage
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The versions that the controllers send each other. */
class ControllerVersionsTest {
    @Test
    fun `all controllers are up to date once every peer has sent this controller's version or a newer one`() {
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
