package org.chalkhollow.core.attempts

import org.chalkhollow.model.Change
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Guards against a gang of which some tasks start although the markers of the others are not durable. */
class GangDispatchTest {
    private val events = ArrayList<String>()
    private val dispatch =
        GangDispatch(List(3) { Change("mark/1/$it", emptyMap<String, Any?>()) }, { events.add("dispatched") }) {
            events.add("rejected")
        }

    @Test
    fun `a gang is dispatched when the last of its markers is durable`() {
        assertEquals(listOf("mark/1/0", "mark/1/1", "mark/1/2"), dispatch.writes.map { it.changes.single().key })
        dispatch.writes[0].onDurable()
        dispatch.writes[1].onDurable()
        assertEquals(emptyList<String>(), events)
        dispatch.writes[2].onDurable()
        assertEquals(listOf("dispatched"), events)
    }

    @Test
    fun `a gang of which a marker is rejected is withdrawn once and never dispatched`() {
        dispatch.writes[0].onDurable()
        dispatch.writes[1].onRejected()
        dispatch.writes[2].onRejected()
        assertEquals(listOf("rejected"), events)
    }

    @Test
    fun `a marker that becomes durable after another one was rejected does not dispatch the gang`() {
        dispatch.writes[0].onRejected()
        dispatch.writes[1].onDurable()
        dispatch.writes[2].onDurable()
        assertEquals(listOf("rejected"), events)
    }
}
