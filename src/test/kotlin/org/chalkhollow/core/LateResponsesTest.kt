package org.chalkhollow.core

import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.Input
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.common.StateOp
import org.chalkhollow.core.common.StateReply
import org.chalkhollow.model.KeyValuePage
import org.chalkhollow.model.WorkerHeartbeat
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.PlatformSettingsParser
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * A process can be paused between the decision on a response and its sending. If the leader lease expires meanwhile,
 * another controller may lead, so the response must not be sent.
 */
class LateResponsesTest {
    @Test
    fun `a response that the leader decided before a pause becomes 503 after its lease has expired`() {
        val settings =
            PlatformSettingsParser.parse(
                """{"label":"a","location":"z","client_listen":"127.0.0.1:1","mesh_addr":"127.0.0.1:2",
              "seeds":[{"label":"b","location":"z","endpoint":"127.0.0.1:3"},{"label":"c","location":"z","endpoint":"127.0.0.1:4"}],
              "external":{"cloud":"127.0.0.1:5","state":"127.0.0.1:6"},
              "facts":{"teams":[{"name":"t","cpus":8,"cpus_max":16}],"workers":{"report_s":4,"lease_s":22,"cancel_s":40},
              "state":{"rps":80,"write_rps":20,"value_kb":8,"txn_ops":12},"cloud":{"rps":3,"list_lag_s":5}}}""",
                "test",
            )
        val controller = Controller(settings, OperatorSettings(), 1, Now(0, 0))
        val pending = ArrayDeque(controller.step(Now(0, 0), Input.Tick))
        var revision = 1L
        while (!controller.acceptsRequests(Now(0, 0)) || pending.isNotEmpty()) {
            val effect = pending.removeFirstOrNull() ?: break
            if (effect !is Effect.State) continue
            val reply =
                when (effect.op) {
                    is StateOp.Read -> StateReply.Missing
                    is StateOp.List -> StateReply.Page(KeyValuePage(emptyList(), false))
                    is StateOp.Commit -> StateReply.Committed(++revision)
                }
            pending.addAll(controller.step(Now(10, 10), Input.State(effect.ticket, reply)))
        }
        assertTrue(controller.isLeader(Now(20, 20)))
        val heartbeat = WorkerHeartbeat("n-1", "127.0.0.1:9", "x", "z", false, 1, 1, 1, null, emptyList())
        val effects = controller.step(Now(20, 20), Input.Heartbeat(7, heartbeat))
        val response = effects.filterIsInstance<Effect.Response>().single()
        assertEquals(200, response.status)
        assertEquals(200, (controller.recheck(Now(300, 300), response) as Effect.Response).status)
        assertEquals(503, (controller.recheck(Now(30_000, 30_000), response) as Effect.Response).status)
        val command = Effect.WorkerCommand(1, "127.0.0.1:9", 1, 1, emptyList())
        assertEquals(
            null,
            controller.recheck(Now(30_000, 30_000), command),
            "a command is not sent after the leader lease has expired",
        )
    }
}
