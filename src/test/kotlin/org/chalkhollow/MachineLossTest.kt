package org.chalkhollow

import org.chalkhollow.model.Resources
import org.chalkhollow.simulation.FakeWorker
import org.chalkhollow.simulation.FaultInjection
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.largeFleet
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** What runs elsewhere, and when, after machines are lost or cannot be reached. */
class MachineLossTest {
    /**
     * Thirty long tasks on forty machines, and what happens to them at 25 s; [fault] says how many must have begun
     * again by [until].
     */
    private fun beginAgain(until: Long, fault: (Simulation, FakeWorker) -> Int) {
        val r = largeFleet(33, 3, 80)
        r.network.loss = 0.0
        r.network.late = 0.0
        r.begin(0, 1, machines = 0)
        repeat(40) { r.cloud.add(r.types[0], r.zones[it % 2], true, 0) }
        r.clock.after(8000) {
            r.users.submit {
                it.copy(
                    tasks = 30,
                    taskResources = Resources(4.0, 0.0, 1.0),
                    types = null,
                    zone = null,
                    together = false,
                    spread = false,
                    spotAllowed = true,
                    expectedS = 300.0,
                    checkpointS = 0.0,
                )
            }
        }
        r.clock.runUntil(25_000)
        val again = fault(r, r.cloud.workers.first { it.onMachine().isNotEmpty() })
        r.clock.runUntil(until)
        assertEquals(emptyList<String>(), r.rules.violations)
        assertEquals(again, r.rules.starts - 30)
    }

    // Waiting for the lease to lapse made one job in five late where spot machines are often taken without a word.
    @Test
    fun `what was on a dead machine begins elsewhere before its lease would have lapsed`() {
        beginAgain(25_000 + 16_000) { r, busy -> busy.onMachine().size.also { r.cloud.kill(busy.name) } }
    }

    @Test
    fun `what cannot be over before the cloud takes its machine begins elsewhere at once`() {
        beginAgain(25_000 + 9000) { r, busy -> busy.onMachine().size.also { busy.noticeAt = r.clock.time + 15_000 } }
    }

    @Test
    fun `a zone that is silent for less than a lease loses nothing`() {
        beginAgain(60_000) { r, _ ->
            for (w in r.cloud.workers.filter {
                it.zone == r.zones.last()
            }) {
                for (n in r.nodes) r.network.cut(n.label, w.name, 16_000, true)
            }
            0
        }
    }

    // A leader that no worker reaches renews no lease; an earlier version led on while all leases ran out.
    @Test
    fun `a leader that the workers do not reach makes way before their leases run out`() {
        val r = largeFleet(31, 3, 40)
        r.network.loss = 0.0
        r.network.late = 0.0
        r.begin(0, 1, machines = 40)
        r.clock.after(8000) {
            r.users.submit {
                it.copy(
                    tasks = 30,
                    taskResources = Resources(4.0, 0.0, 1.0),
                    types = null,
                    zone = null,
                    together = false,
                    spread = false,
                    expectedS = 300.0,
                )
            }
        }
        r.clock.after(25_000) { FaultInjection(r).mass(6) }
        r.clock.runUntil(62_000)
        assertEquals(emptyList<String>(), r.rules.violations)
        assertEquals(30, r.rules.starts, "tasks were lost with their machines' leases and begun again")
    }
}
