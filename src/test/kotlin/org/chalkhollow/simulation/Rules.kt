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
    var calmFrom = Long.MAX_VALUE

    val completions: Int get() = history.completed.values.sumOf { it.size }
    val acceptedCount: Int get() = history.accepted.size
    val doneCount: Int get() = history.endTold.values.count { it == UserRules.DONE }

    /** Jobs that their users were told to be cancelled. */
    val cancelledCount: Int get() = history.endTold.values.count { it == UserRules.CANCELLED }

    /** Accepted jobs that were complete by their deadline, counted from their acceptance. */
    val onTimeCount: Int get() = history.onTimeCount

    fun broken(rule: String, what: String) {
        if (violations.size < MAX_VIOLATIONS) violations.add("$rule at ${clock.time}: $what")
    }

    /** Accepted jobs whose end nobody was told yet. */
    fun pending(): List<String> = history.pending()

    /** [task] of [spec] has begun on [worker]. */
    fun started(task: FakeTask, spec: JobSpec, worker: FakeWorker) {
        starts++
        history.started(task)
        placement.started(task, spec, worker)
    }

    fun completed(task: FakeTask) = history.completed(task)

    /** Whether all other tasks of its job are done. */
    fun isLast(task: FakeTask): Boolean = history.isLast(task)

    /** Whether a user was told that [id] is over. */
    fun isFinal(id: String): Boolean = id in history.endTold

    fun isDone(id: String): Boolean = history.endTold[id] == UserRules.DONE

    /** A job that no machine has room for was answered with [status], 0 for no answer. */
    fun answeredUnfit(id: String, status: Int) = users.answeredUnfit(id, status)

    /** Notes that a user was told that [id] is accepted; true the first time. */
    fun accepted(id: String): Boolean {
        val first = history.acceptedAt.putIfAbsent(id, clock.time) == null
        val spec = simulation.users.spec(id)
        if (first && spec?.shape == Shape.SERVICE) services.accepted(spec)
        return first
    }

    /** A poll about [id] was answered. */
    fun answered(id: String) {
        history.answeredAt[id] = clock.time
    }

    fun refused(id: String, status: Int) = users.refused(id, status)

    /** A user gets word, given at [saidAt], that [id] is unknown. */
    fun notFound(id: String, saidAt: Long) = users.notFound(id, saidAt)

    fun asksToCancel(id: String) = users.asksToCancel(id)

    /** A user is told [status] in answer to what it asked at [askedAt]. */
    fun told(id: String, status: String, askedAt: Long) = users.told(id, status, askedAt)

    /**
     * The share of the replica time of service [id] that was served, from [afterMs] after its acceptance until it was
     * called off.
     */
    fun upShare(id: String, afterMs: Long): Double {
        val from = history.acceptedAt.getValue(id) + afterMs
        return services.share(id, from, history.cancelRequestedAt[id] ?: clock.time)
    }

    /** To be called when a day is over: what was put off for good. */
    fun starved(): List<String> = starvation.starved()

    private var slowChecksAt = 0L
    private var touched = true
    private var fullCheckAt = 0L

    /** What is on some machine has changed. */
    fun touched() {
        touched = true
    }

    /** After each step; the machines are looked through when something on them has changed, and for time passing. */
    fun check() {
        checkLeaders()
        services.sample()
        checkSlowly()
        if (!touched && clock.time < fullCheckAt) return
        touched = false
        fullCheckAt = clock.time + FULL_CHECK_MS
        placement.checkMachines()
    }

    /** At no moment may two controllers take themselves for entitled. */
    private fun checkLeaders() {
        var leading: SimulatedController? = null
        for (node in simulation.nodes) {
            if (!node.leads) continue
            if (leading != null) broken("two_lead", "${leading.label}, ${node.label}")
            leading = node
        }
    }

    /** Once a second, from [calmFrom] on. */
    private fun checkSlowly() {
        if (clock.time < slowChecksAt) return
        slowChecksAt = clock.time + SLOW_CHECK_MS
        if (clock.time < calmFrom) return
        users.checkAnswers(calmFrom)
        waiting.check()
    }

    private companion object {
        const val MAX_VIOLATIONS = 20
        const val FULL_CHECK_MS = 200L
        const val SLOW_CHECK_MS = 1000L
    }
}
