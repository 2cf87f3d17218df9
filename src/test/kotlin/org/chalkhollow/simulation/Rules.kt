package org.chalkhollow.simulation

import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.Shape

/**
 * The rules of the protocol, held against what the fakes see; [check] runs after each step. Its parts are [UserRules],
 * [PlacementRules], [WaitingRules], [StarvationRules] and [ServiceRules]; they read one [JobHistory].
 */
class Rules(private val simulation: Simulation) {
    private val clock = simulation.clock
    private val history = JobHistory(simulation)
    private val users = UserRules(simulation, history)
    private val placement = PlacementRules(simulation, history)
    private val starvation = StarvationRules(simulation, history)

    /** When replicas of services ran. */
    val services = ServiceRules(simulation)
    private val waiting = WaitingRules(simulation, history, services)

    /** The rules that were broken, each as its name, when, and what. */
    val violations = ArrayList<String>()

    /** How many tasks have begun, each attempt counted. */
    var starts = 0
        private set

    /** When the last fault ends; what has to hold from then on is checked from then on. */
    var faultFreeFromMs = Long.MAX_VALUE

    val completedTaskCount: Int get() = history.completedTasks.values.sumOf { it.size }
    val acceptedCount: Int get() = history.accepted.size
    val doneCount: Int get() = history.reportedEnd.values.count { it == UserRules.DONE }

    /** Jobs that their users were told to be cancelled. */
    val cancelledCount: Int get() = history.reportedEnd.values.count { it == UserRules.CANCELLED }

    /** Accepted jobs that were complete by their deadline, counted from their acceptance. */
    val onTimeCount: Int get() = history.onTimeCount

    fun recordViolation(rule: String, detail: String) {
        if (violations.size < MAX_VIOLATIONS) violations.add("$rule at ${clock.timeMs}: $detail")
    }

    /** Accepted jobs whose end nobody was told yet. */
    fun unfinishedJobs(): List<String> = history.unfinishedJobs()

    /** [task] of [spec] has begun on [worker]. */
    fun started(task: FakeTask, spec: JobSpec, worker: FakeWorker) {
        starts++
        history.started(task)
        placement.started(task, spec, worker)
    }

    fun completed(task: FakeTask) = history.completed(task)

    /** Whether all other tasks of its job are done. */
    fun isLastTask(task: FakeTask): Boolean = history.isLastTask(task)

    /** Whether a user was told that [id] is over. */
    fun hasEnded(id: String): Boolean = id in history.reportedEnd

    fun isDone(id: String): Boolean = history.reportedEnd[id] == UserRules.DONE

    /** A job that no machine has room for was answered with [status], 0 for no answer. */
    fun tooLargeJobAnswered(id: String, status: Int) = users.tooLargeJobAnswered(id, status)

    /** Notes that a user was told that [id] is accepted; true the first time. */
    fun accepted(id: String): Boolean {
        val first = history.acceptedAtMs.putIfAbsent(id, clock.timeMs) == null
        val spec = simulation.users.spec(id)
        if (first && spec?.shape == Shape.SERVICE) services.accepted(spec)
        return first
    }

    /** A poll about [id] was answered. */
    fun pollAnswered(id: String) {
        history.lastPollAnsweredAtMs[id] = clock.timeMs
    }

    fun rejected(id: String, status: Int) = users.rejected(id, status)

    /** A user gets word, given at [respondedAtMs], that [id] is unknown. */
    fun notFound(id: String, respondedAtMs: Long) = users.notFound(id, respondedAtMs)

    fun cancelRequested(id: String) = users.cancelRequested(id)

    /** A user is told [status] in answer to what it asked at [requestedAtMs]. */
    fun stateReported(id: String, status: String, requestedAtMs: Long) = users.stateReported(id, status, requestedAtMs)

    /**
     * The share of the replica time of service [id] that was served, from [afterMs] after its acceptance until it was
     * called off.
     */
    fun availability(id: String, afterMs: Long): Double {
        val from = history.acceptedAtMs.getValue(id) + afterMs
        return services.availability(id, from, history.cancelRequestedAtMs[id] ?: clock.timeMs)
    }

    /** To be called when a day is over: what was put off for good. */
    fun starved(): List<String> = starvation.starved()

    private var nextSlowCheckMs = 0L
    private var hasMachineChanges = true
    private var nextFullCheckMs = 0L

    /** What is on some machine has changed. */
    fun machinesChanged() {
        hasMachineChanges = true
    }

    /** After each step; the machines are looked through when something on them has changed, and for time passing. */
    fun check() {
        checkLeaders()
        services.sample()
        checkEverySecond()
        if (!hasMachineChanges && clock.timeMs < nextFullCheckMs) return
        hasMachineChanges = false
        nextFullCheckMs = clock.timeMs + FULL_CHECK_INTERVAL_MS
        placement.checkMachines()
    }

    /** At no moment may two controllers take themselves for entitled. */
    private fun checkLeaders() {
        var leading: SimulatedController? = null
        for (node in simulation.nodes) {
            if (!node.leads) continue
            if (leading != null) recordViolation("two_lead", "${leading.label}, ${node.label}")
            leading = node
        }
    }

    /** Once a second, from [faultFreeFromMs] on. */
    private fun checkEverySecond() {
        if (clock.timeMs < nextSlowCheckMs) return
        nextSlowCheckMs = clock.timeMs + SLOW_CHECK_INTERVAL_MS
        if (clock.timeMs < faultFreeFromMs) return
        users.checkAnswers(faultFreeFromMs)
        waiting.check()
    }

    private companion object {
        const val MAX_VIOLATIONS = 20
        const val FULL_CHECK_INTERVAL_MS = 200L
        const val SLOW_CHECK_INTERVAL_MS = 1000L
    }
}
