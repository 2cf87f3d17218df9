package org.chalkhollow.simulation

import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/**
 * A simulation in which a test injects faults at chosen times. Jobs already run when the faults begin at [START_MS].
 * [runToEnd] checks the rules after the last fault.
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

    /** The ids of the jobs that [begin] submits as [longJob]s. */
    val longJobs = ArrayList<String>()

    private val cancelledIds = ArrayList<String>()
    private var cancelCalls = 0

    /** Cancels up to [count] running jobs, see [Users.cancelRunningJobs]. */
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

    /** Crashes [node] and restarts it after [restartAfterMs]. */
    fun crash(node: SimulatedController, restartAfterMs: Long) = faults.crash(node, restartAfterMs)

    /** Crashes the leader, if there is one, and restarts it after [restartAfterMs]. */
    fun crashLeader(restartAfterMs: Long) {
        leader()?.let { crash(it, restartAfterMs) }
    }

    /** Cuts [worker] off from every controller. With [deliversLater], messages are delivered when the cut ends. */
    fun cutOff(worker: FakeWorker, forMs: Long, deliversLater: Boolean) {
        for (node in nodes) network.cut(node.label, worker.name, forMs, deliversLater)
    }

    /** For [forMs], no message of a controller reaches [worker], while its own messages arrive. */
    fun cutOffResponses(worker: FakeWorker, forMs: Long) {
        for (node in nodes) network.cutOneWay(node.label, worker.name, forMs)
    }

    /** Calls [run] at [ms] after the start of the simulation. */
    fun at(ms: Long, run: () -> Unit) {
        clock.after(ms - clock.timeMs, run)
    }

    /** The machines with running or saving tasks. */
    fun busy(): List<FakeWorker> = cloud.workers.filter { it.activeTasks().isNotEmpty() }

    /** Users submit [jobs] short jobs within [overMs], and [longJobs] long ones before the faults begin. */
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

    /** [spec] changed to a job of three small tasks that may run anywhere and take one to four minutes. */
    fun longJob(spec: JobSpec, team: String = spec.team): JobSpec =
        spec.anywhere().copy(
            team = team,
            workload = "long",
            tasks = 3,
            taskResources = Resources(2.0, 0.0, 2.0),
            expectedS = 150.0,
            dueS = null,
        )

    /** Runs for [RUN_ON_MS] after the faults end at [faultsEndMs], and asserts that the rules hold. */
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

    /** Asserts that no rule was violated, and that users learned the end of every job that they cancelled. */
    fun assertRulesHold() {
        assertEquals(emptyList<String>(), rules.violations)
        assertTrue(rules.starts > 0, "no task was started")
        if (cancelCalls > 0) assertTrue(cancelledIds.isNotEmpty(), "there was no running job to cancel")
        assertEquals(
            emptyList<String>(),
            cancelledIds.filter { !rules.hasEnded(it) },
            "cancelled jobs whose end no user learned",
        )
    }

    companion object {
        const val START_MS = 30_000L
        private const val RUN_ON_MS = 320_000L
    }
}
