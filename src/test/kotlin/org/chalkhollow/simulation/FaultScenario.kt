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
    val longJobs = ArrayList<String>()

    private val cancelledIds = ArrayList<String>()
    private var cancelCalls = 0

    /** Calls off [count] jobs that run and have long to go, as [Users.cancelRunningJobs]. */
    fun cancelRunningJobs(count: Int, hangMs: Long = 0) {
        cancelCalls++
        cancelledIds.addAll(users.cancelRunningJobs(count, hangMs))
    }

    fun cancel(id: String) {
        cancelCalls++
        cancelledIds.add(id)
        users.cancel(id)
    }

    fun leader(): SimulatedController? = nodes.firstOrNull { it.leads }

    /** Ends [node] and starts it again after [restartAfterMs]. */
    fun crash(node: SimulatedController, restartAfterMs: Long) = faults.crash(node, restartAfterMs)

    /** Ends the leader, if there is one, and starts it again after [restartAfterMs]. */
    fun crashLeader(restartAfterMs: Long) {
        leader()?.let { crash(it, restartAfterMs) }
    }

    /** Cuts [worker] off from every controller; with [holds], messages are delivered when that is over. */
    fun cutOff(worker: FakeWorker, forMs: Long, deliversLater: Boolean) {
        for (node in nodes) network.cut(node.label, worker.name, forMs, deliversLater)
    }

    /** Has [worker] hear no controller, while its own messages arrive. */
    fun cutOffResponses(worker: FakeWorker, forMs: Long) {
        for (node in nodes) network.cutOneWay(node.label, worker.name, forMs)
    }

    fun at(ms: Long, run: () -> Unit) {
        clock.after(ms - clock.timeMs, run)
    }

    /** Machines that run something now. */
    fun busy(): List<FakeWorker> = cloud.workers.filter { it.activeTasks().isNotEmpty() }

    /** Short jobs that go on arriving, and [long] ones that run from before the faults. */
    fun begin(jobs: Int = 24, longJobs: Int = 6, overMs: Long = 90_000, change: (JobSpec) -> JobSpec = { it }) {
        simulation.begin(jobs, overMs, machines = 6)
        repeat(longJobs) { i ->
            at(6000L + i * 300) {
                this.longJobs.add(
                    users.submit {
                        change(
                            longJob(it, if (i % 2 == 0) "red" else "blue"),
                        )
                    },
                )
            }
        }
    }

    /** A job of three small tasks that may run anywhere, for one to four minutes. */
    fun longJob(spec: JobSpec, team: String = spec.team): JobSpec =
        spec.anywhere().copy(
            team = team,
            workload = "long",
            tasks = 3,
            taskResources = Resources(2.0, 0.0, 2.0),
            expectedS = 150.0,
            dueS = null,
        )

    /** Plays the day; its faults are over at [faultsEndMs]. */
    fun runToEnd(faultsEndMs: Long, checksStarvation: Boolean = true) {
        at(faultsEndMs) {
            network.copyProbability = 0.0
            network.holdProbability = 0.0
            users.cancelAtEndProbability = 0.0
        }
        rules.faultFreeFromMs = faultsEndMs
        clock.runUntil(faultsEndMs + RUN_ON_MS)
        assertRulesHold()
        if (checksStarvation) assertEquals(emptyList<String>(), rules.starved())
    }

    fun assertRulesHold() {
        assertEquals(emptyList<String>(), rules.violations)
        assertTrue(rules.starts > 0, "nothing was started")
        if (cancelCalls > 0) assertTrue(cancelledIds.isNotEmpty(), "nothing was there to be called off")
        assertEquals(
            emptyList<String>(),
            cancelledIds.filter { !rules.hasEnded(it) },
            "cancellations without an answer",
        )
    }

    companion object {
        const val START_MS = 30_000L
        private const val RUN_ON_MS = 320_000L
    }
}
