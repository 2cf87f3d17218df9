package org.chalkhollow.simulation

import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.Shape

/**
 * Checks the rules of the protocol against what the fakes observe. [check] is called after each event. The rules are in
 * [UserRules], [PlacementRules], [WaitingRules], [StarvationRules] and [ServiceRules], which read one [JobHistory].
 */
class Rules(private val simulation: Simulation) {
    private val clock = simulation.clock
    private val history = JobHistory(simulation)
    private val users = UserRules(simulation, history)
    private val placement = PlacementRules(simulation, history)
    private val starvation = StarvationRules(simulation, history)

    /** When the replicas of services ran. */
    val services = ServiceRules(simulation)
    private val waiting = WaitingRules(simulation, history, services)

    /** The violations so far, at most [MAX_VIOLATIONS], each as `RULE at MILLISECONDS: DETAIL`. */
    val violations = ArrayList<String>()

    /** How many attempts began to run. */
    var starts = 0
        private set

    /** When the last fault ends. Rules that must hold only without faults are checked from then on. */
    var faultFreeFromMs = Long.MAX_VALUE

    val completedTaskCount: Int get() = history.completedTasks.values.sumOf { it.size }
    val acceptedCount: Int get() = history.accepted.size
    val doneCount: Int get() = history.reportedEnd.values.count { it == UserRules.DONE }

    /** How many jobs users were told are cancelled. */
    val cancelledCount: Int get() = history.reportedEnd.values.count { it == UserRules.CANCELLED }

    /** See [JobHistory.onTimeCount]. */
    val onTimeCount: Int get() = history.onTimeCount

    fun recordViolation(rule: String, detail: String) {
        if (violations.size < MAX_VIOLATIONS) violations.add("$rule at ${clock.timeMs}: $detail")
    }

    /** See [JobHistory.unfinishedJobs]. */
    fun unfinishedJobs(): List<String> = history.unfinishedJobs()

    /** [task] of [spec] began to run on [worker]. */
    fun started(task: FakeTask, spec: JobSpec, worker: FakeWorker) {
        starts++
        history.started(task)
        placement.started(task, spec, worker)
    }

    fun completed(task: FakeTask) = history.completed(task)

    /** See [JobHistory.isLastTask]. */
    fun isLastTask(task: FakeTask): Boolean = history.isLastTask(task)

    /** Whether a user was told that [id] is done or cancelled. */
    fun hasEnded(id: String): Boolean = id in history.reportedEnd

    fun isDone(id: String): Boolean = history.reportedEnd[id] == UserRules.DONE

    /** A job that is too large for every machine type got a response with [status], 0 for none. */
    fun tooLargeJobResponse(id: String, status: Int) = users.tooLargeJobResponse(id, status)

    /** Records that a user was told that [id] is accepted. Returns true the first time. */
    fun accepted(id: String): Boolean {
        val first = history.acceptedAtMs.putIfAbsent(id, clock.timeMs) == null
        val spec = simulation.users.spec(id)
        if (first && spec?.shape == Shape.SERVICE) services.accepted(spec)
        return first
    }

    /** A poll about [id] got a response with its state. */
    fun recordPollResponse(id: String) {
        history.lastPollResponseAtMs[id] = clock.timeMs
    }

    fun rejected(id: String, status: Int) = users.rejected(id, status)

    /** A user receives the response, sent at [respondedAtMs], that [id] is unknown. */
    fun notFound(id: String, respondedAtMs: Long) = users.notFound(id, respondedAtMs)

    fun cancelRequested(id: String) = users.cancelRequested(id)

    /** A user receives [status] in response to a request sent at [requestedAtMs]. */
    fun stateReported(id: String, status: String, requestedAtMs: Long) = users.stateReported(id, status, requestedAtMs)

    /**
     * The fraction of the wanted replica time of service [id] in which its replicas ran, from [afterMs] after its
     * acceptance until its user requested to cancel it.
     */
    fun availability(id: String, afterMs: Long): Double {
        val from = history.acceptedAtMs.getValue(id) + afterMs
        return services.availability(id, from, history.cancelRequestedAtMs[id] ?: clock.timeMs)
    }

    /** See [StarvationRules.starved]. To be called at the end of a simulation. */
    fun starved(): List<String> = starvation.starved()

    private var nextSlowCheckMs = 0L
    private var hasMachineChanges = true
    private var nextFullCheckMs = 0L

    /** The tasks on a machine changed. */
    fun machinesChanged() {
        hasMachineChanges = true
    }

    /**
     * Called after each event. The tasks on the machines are checked when they changed, and every
     * [FULL_CHECK_INTERVAL_MS] for rules that depend on time.
     */
    fun check() {
        checkLeaders()
        services.sample()
        checkEverySecond()
        if (!hasMachineChanges && clock.timeMs < nextFullCheckMs) return
        hasMachineChanges = false
        nextFullCheckMs = clock.timeMs + FULL_CHECK_INTERVAL_MS
        placement.checkMachines()
    }

    /** No two controllers may be leader at the same time. */
    private fun checkLeaders() {
        var leading: SimulatedController? = null
        for (node in simulation.nodes) {
            if (!node.leads) continue
            if (leading != null) recordViolation("two_lead", "${leading.label}, ${node.label}")
            leading = node
        }
    }

    /** Runs the checks that are due once a second from [faultFreeFromMs] on. */
    private fun checkEverySecond() {
        if (clock.timeMs < nextSlowCheckMs) return
        nextSlowCheckMs = clock.timeMs + SLOW_CHECK_INTERVAL_MS
        if (clock.timeMs < faultFreeFromMs) return
        users.checkResponses(faultFreeFromMs)
        waiting.check()
    }

    private companion object {
        const val MAX_VIOLATIONS = 20
        const val FULL_CHECK_INTERVAL_MS = 200L
        const val SLOW_CHECK_INTERVAL_MS = 1000L
    }
}
