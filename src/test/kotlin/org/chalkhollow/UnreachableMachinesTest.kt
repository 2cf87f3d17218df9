package org.chalkhollow

import org.chalkhollow.core.common.Effect
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.simulation.Simulation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Machines whose heartbeats arrive while nothing reaches them. */
class UnreachableMachinesTest {
    // Reports every 4 s come at the pace of a worker that gets no answer; an earlier version took the one for the
    // other.
    @ParameterizedTest
    @ValueSource(longs = [2000, 4000, 9000])
    fun `a machine that hears nothing is noticed at any pace of reports, also by a new leader`(reportMs: Long) {
        for (seed in 1L..5L) {
            for (crash in listOf(false, true)) {
                val r = Simulation(seed, OperatorSettings(idleReturnS = 900.0), 22_000, 22.0, reportMs = reportMs)
                r.network.loss = 0.0
                r.network.late = 0.0
                r.begin(0, 1, machines = 0)
                repeat(4) { r.cloud.add(r.types[0], "east", true, 0) }
                r.clock.runUntil(15_000)
                val deaf = r.cloud.workers.first()
                // Where others still send it back to the leader, its reports come to the leader about as often as
                // others' do.
                for (n in r.nodes) if (crash || n.leads) r.network.cutOneWay(n.label, deaf.name, 300_000)
                if (crash) r.clock.after(3000) { r.nodes.filter { it.leads }.forEach { it.crash() } }
                r.clock.runUntil(60_000)
                var sentToDeaf = 0
                r.onEffect = { _, _, effect ->
                    if (effect is Effect.WorkerCommand && effect.address == deaf.name &&
                        effect.commands.isNotEmpty()
                    ) {
                        sentToDeaf++
                    }
                }
                r.users.submit {
                    it.copy(
                        id = "j-1",
                        tasks = 13,
                        types = null,
                        zone = null,
                        together = false,
                        spread = false,
                        spotAllowed = true,
                        expectedS = 5.0,
                    )
                }
                // Tasks that were placed in two turns and a user's next poll, and no machine that has to be given up
                // first.
                r.clock.runUntil(90_000)
                assertEquals(emptyList<String>(), r.rules.violations)
                assertEquals(0, sentToDeaf, "seed $seed: commands went to a machine that hears nothing")
                assertEquals(1, r.rules.doneCount, "a job waits for a machine that hears nothing: ${r.rules.pending()}")
            }
        }
    }

    // A machine whose reports arrive while nothing reaches it looks alive; its tasks would wait for ever for a start.
    @Test
    fun `a machine that hears nothing is given no work, and is returned`() {
        val r = Simulation(3, OperatorSettings(idleReturnS = 900.0))
        r.network.loss = 0.0
        r.network.late = 0.0
        r.begin(0, 1, machines = 0)
        repeat(4) { r.cloud.add(r.types[0], "east", true, 0) }
        r.clock.runUntil(15_000)
        val deaf = r.cloud.workers.first()
        for (n in r.nodes) r.network.cutOneWay(n.label, deaf.name, 300_000)
        r.clock.runUntil(40_000)
        r.users.submit {
            it.copy(
                id = "j-1",
                tasks = 13,
                types = null,
                zone = null,
                together = false,
                spread = false,
                spotAllowed = true,
                expectedS = 5.0,
            )
        }
        val acceptedBy = r.clock.time
        r.clock.runUntil(acceptedBy + 25_000)
        assertEquals(emptyList<String>(), r.rules.violations)
        assertEquals(1, r.rules.doneCount, "a job waits for a machine that hears nothing: ${r.rules.pending()}")
        r.clock.runUntil(120_000)
        assertTrue(r.cloud.workers.none { it.name == deaf.name }, "it is still paid for")
    }
}
