package org.chalkhollow.simulation

import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/**
 * A day on which faults coincide on purpose: work under way when they begin at [START_MS], and what must hold at its
 * end.
 */
class FaultScenario(seed: Long, leaseMs: Long = 16_000, verbose: Boolean = false, controllers: Int = 3) {
    val r =
        Simulation(seed, leaseMs = leaseMs, toldLeaseS = leaseMs / 1000.0, controllers = controllers, verbose = verbose)
    val faults = FaultInjection(r)
    val clock get() = r.clock

    /** Jobs that run for minutes. */
    val long = ArrayList<String>()

    private val called = ArrayList<String>()
    private var calls = 0

    /** Calls off [count] jobs that run and have long to go, as [Users.cancelNow]. */
    fun cancelNow(count: Int, hangMs: Long = 0) {
        calls++
        called.addAll(r.users.cancelNow(count, hangMs))
    }

    fun cancel(id: String) {
        calls++
        called.add(id)
        r.users.cancel(id)
    }

    fun leader(): SimulatedController? = r.nodes.firstOrNull { it.leads }

    fun at(ms: Long, run: () -> Unit) {
        clock.after(ms - clock.time, run)
    }

    /** Machines that run something now. */
    fun busy(): List<FakeWorker> = r.cloud.workers.filter { it.onMachine().isNotEmpty() }

    /** Short jobs that go on arriving, and [long] ones that run from before the faults. */
    fun begin(jobs: Int = 24, long: Int = 6, overMs: Long = 90_000, change: (JobSpec) -> JobSpec = { it }) {
        r.begin(jobs, overMs, machines = 6)
        repeat(long) { i ->
            at(6000L + i * 300) {
                this.long.add(
                    r.users.submit {
                        change(
                            plain(
                                it,
                                if (i % 2 ==
                                    0
                                ) {
                                    "red"
                                } else {
                                    "blue"
                                },
                            ),
                        )
                    },
                )
            }
        }
    }

    /** A job of three small tasks that may run anywhere, for one to four minutes. */
    fun plain(spec: JobSpec, team: String = spec.team): JobSpec =
        spec.copy(
            team = team,
            workload = "long",
            tasks = 3,
            taskResources = Resources(2.0, 0.0, 2.0),
            types = null,
            zone = null,
            together = false,
            spread = false,
            spotAllowed = true,
            expectedS = 150.0,
            dueS = null,
        )

    /** Plays the day; its faults are over at [calmMs]. */
    fun play(calmMs: Long, servesAll: Boolean = true) {
        at(calmMs) {
            r.network.copies = 0.0
            r.network.held = 0.0
            r.users.cancelAtEnd = 0.0
        }
        r.rules.calmFrom = calmMs
        clock.runUntil(calmMs + AFTER_MS)
        holds()
        if (servesAll) assertEquals(emptyList<String>(), r.rules.starved())
    }

    fun holds() {
        assertEquals(emptyList<String>(), r.rules.violations)
        assertTrue(r.rules.starts > 0, "nothing was started")
        if (calls > 0) assertTrue(called.isNotEmpty(), "nothing was there to be called off")
        assertEquals(emptyList<String>(), called.filter { !r.rules.isFinal(it) }, "cancellations without an answer")
    }

    companion object {
        const val START_MS = 30_000L
        private const val AFTER_MS = 320_000L
    }
}
