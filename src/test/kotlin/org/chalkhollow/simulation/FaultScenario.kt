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
    val simulation =
        Simulation(seed, leaseMs = leaseMs, size = SimulationSize(controllers = controllers))
            .also { it.verbose = verbose }
    val faults = FaultInjection(simulation)
    val clock get() = simulation.clock
    val network get() = simulation.network
    val state get() = simulation.state
    val cloud get() = simulation.cloud
    val nodes get() = simulation.nodes
    val users get() = simulation.users
    val rules get() = simulation.rules

    /** Jobs that run for minutes. */
    val long = ArrayList<String>()

    private val called = ArrayList<String>()
    private var calls = 0

    /** Calls off [count] jobs that run and have long to go, as [Users.cancelNow]. */
    fun cancelNow(count: Int, hangMs: Long = 0) {
        calls++
        called.addAll(users.cancelNow(count, hangMs))
    }

    fun cancel(id: String) {
        calls++
        called.add(id)
        users.cancel(id)
    }

    fun leader(): SimulatedController? = nodes.firstOrNull { it.leads }

    /** Ends [node] and starts it again after [backMs]. */
    fun crash(node: SimulatedController, backMs: Long) = faults.crash(node, backMs)

    /** Ends the leader, if there is one, and starts it again after [backMs]. */
    fun crashLeader(backMs: Long) {
        leader()?.let { crash(it, backMs) }
    }

    /** Cuts [worker] off from every controller; with [holds], messages are delivered when that is over. */
    fun cutOff(worker: FakeWorker, forMs: Long, holds: Boolean) {
        for (node in nodes) network.cut(node.label, worker.name, forMs, holds)
    }

    /** Has [worker] hear no controller, while its own messages arrive. */
    fun deafen(worker: FakeWorker, forMs: Long) {
        for (node in nodes) network.cutOneWay(node.label, worker.name, forMs)
    }

    fun at(ms: Long, run: () -> Unit) {
        clock.after(ms - clock.time, run)
    }

    /** Machines that run something now. */
    fun busy(): List<FakeWorker> = cloud.workers.filter { it.onMachine().isNotEmpty() }

    /** Short jobs that go on arriving, and [long] ones that run from before the faults. */
    fun begin(jobs: Int = 24, long: Int = 6, overMs: Long = 90_000, change: (JobSpec) -> JobSpec = { it }) {
        simulation.begin(jobs, overMs, machines = 6)
        repeat(long) { i ->
            at(6000L + i * 300) {
                this.long.add(
                    users.submit {
                        change(
                            plain(it, if (i % 2 == 0) "red" else "blue"),
                        )
                    },
                )
            }
        }
    }

    /** A job of three small tasks that may run anywhere, for one to four minutes. */
    fun plain(spec: JobSpec, team: String = spec.team): JobSpec =
        spec.anywhere().copy(
            team = team,
            workload = "long",
            tasks = 3,
            taskResources = Resources(2.0, 0.0, 2.0),
            expectedS = 150.0,
            dueS = null,
        )

    /** Plays the day; its faults are over at [calmMs]. */
    fun play(calmMs: Long, servesAll: Boolean = true) {
        at(calmMs) {
            network.copies = 0.0
            network.held = 0.0
            users.cancelAtEnd = 0.0
        }
        rules.calmFrom = calmMs
        clock.runUntil(calmMs + AFTER_MS)
        holds()
        if (servesAll) assertEquals(emptyList<String>(), rules.starved())
    }

    fun holds() {
        assertEquals(emptyList<String>(), rules.violations)
        assertTrue(rules.starts > 0, "nothing was started")
        if (calls > 0) assertTrue(called.isNotEmpty(), "nothing was there to be called off")
        assertEquals(emptyList<String>(), called.filter { !rules.isFinal(it) }, "cancellations without an answer")
    }

    companion object {
        const val START_MS = 30_000L
        private const val AFTER_MS = 320_000L
    }
}
