package org.chalkhollow.simulation

import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.Shape
import org.chalkhollow.model.TaskStatus

/** The rules of the protocol, held against what the fakes see; [check] runs after each step. */
class Rules(private val simulation: Simulation) {
    val violations = ArrayList<String>()
    private val clock = simulation.clock
    private val acceptedIds = HashSet<String>()
    private val finalTold = HashMap<String, String>()
    private val finalToldAt = HashMap<String, Long>()
    private val cancelledAt = HashMap<String, Long>()
    private val wanted = HashSet<String>()
    private val wantedAt = HashMap<String, Long>()
    private val waitingSince = HashMap<String, Long>()
    private val done = HashMap<String, HashSet<Int>>()
    var starts = 0
        private set

    /** When replicas of services ran. */
    val services = ServiceRules(simulation)

    /** Tasks that have begun at least once, by job. */
    private val begun = HashMap<String, HashSet<Int>>()
    val completions: Int get() = done.values.sumOf { it.size }
    val acceptedCount: Int get() = acceptedIds.size
    val doneCount: Int get() = finalTold.values.count { it == "done" }

    /** Accepted jobs whose end nobody was told yet. */
    fun pending(): List<String> =
        acceptedIds.filter { it !in finalTold }.sorted().map { id ->
            "$id: ${done[id]?.size ?: 0} of ${simulation.users.spec(id)?.tasks} tasks, ${simulation.users.spec(id)}"
        }

    fun broken(rule: String, what: String) {
        if (violations.size < 20) violations.add("$rule at ${clock.time}: $what")
    }

    fun started(task: FakeWorker.Task, spec: JobSpec, on: FakeWorker) {
        starts++
        begunAt.putIfAbsent(task.job, clock.time)
        begun.getOrPut(task.job) { HashSet() }.add(task.index)
        val cancelled = cancelledAt[task.job]
        if (cancelled != null &&
            task.sentAt > cancelled
        ) {
            broken("ran_cancelled", "${task.name} was told to start after its user was told that it is cancelled")
        }
        for (w in simulation.cloud.workers) {
            if (w !== on &&
                w.onMachine().any { it.name == task.name }
            ) {
                broken("ran_twice", "${task.name} on ${on.name} and ${w.name}")
            }
        }
        if (spec.types != null &&
            on.type.name !in spec.types
        ) {
            broken("wrong_place", "${task.name} on type ${on.type.name}")
        }
        if (spec.zone != null && spec.zone != on.zone) broken("wrong_place", "${task.name} in ${on.zone}")
        if (on.spot && !spec.spotAllowed) broken("wrong_place", "${task.name} on a spot machine")
        val zones = simulation.cloud.workers.flatMap { w -> w.onMachine().filter { it.job == spec.id }.map { w.zone } }
        if (spec.together && zones.toSet().size > 1) broken("wrong_place", "${spec.id} is in two zones")
        if (spec.spread &&
            zones.count { it == on.zone } > (spec.tasks + 1) / 2
        ) {
            broken("wrong_place", "${spec.id} is not spread")
        }
    }

    fun completed(task: FakeWorker.Task) {
        val ended = done.getOrPut(task.job) { HashSet() }
        if (ended.add(task.index) && ended.size == simulation.users.spec(task.job)?.tasks) {
            endedAt[task.job] = clock.time
            simulation.users.ended(task.job)
        }
    }

    /** When the last task of a job was completed. */
    private val endedAt = HashMap<String, Long>()

    /** Accepted jobs that were complete by their deadline, counted from their acceptance. */
    val onTimeCount: Int
        get() =
            acceptedIds.count { id ->
                val dueS = simulation.users.spec(id)?.dueS
                val end = endedAt[id]
                dueS != null && end != null && end - acceptedAt.getValue(id) <= dueS * 1000
            }

    /** Whether all other tasks of its job are done. */
    fun isLast(task: FakeWorker.Task): Boolean {
        val ended = done[task.job] ?: emptySet()
        return task.index !in ended && ended.size + 1 == simulation.users.spec(task.job)?.tasks
    }

    /** Whether a user was told that [id] is over. */
    fun isFinal(id: String): Boolean = id in finalTold

    fun isDone(id: String): Boolean = finalTold[id] == "done"

    /** Jobs that their users were told to be cancelled. */
    val cancelledCount: Int get() = finalTold.values.count { it == "aborted" }

    /** A job that no machine has room for was answered with [status], 0 for no answer. */
    fun answeredUnfit(id: String, status: Int) {
        if (status in 200..299) broken("accepted_unfit", "$id, which fits no machine, was answered with $status")
    }

    /** Notes that a user was told that [id] is accepted; true the first time. */
    fun accepted(id: String): Boolean {
        acceptedAt.putIfAbsent(id, clock.time)
        val first = acceptedIds.add(id)
        if (first) {
            simulation.users
                .spec(id)
                ?.takeIf { it.shape == Shape.SERVICE }
                ?.let(services::accepted)
        }
        return first
    }

    /** Whether [id] is accepted, and neither over nor called off by its user. */
    fun isOpen(id: String): Boolean = id in acceptedIds && id !in finalTold && id !in wanted

    /**
     * The share of the replica time of service [id] that was served, from [afterMs] after its acceptance until it was
     * called off.
     */
    fun upShare(id: String, afterMs: Long): Double =
        services.share(
            id,
            acceptedAt.getValue(id) + afterMs,
            wantedAt[id] ?: clock.time,
        )

    fun refused(id: String, status: Int) {
        if (id in acceptedIds) broken("forgotten", "$id was accepted and is now answered with $status")
    }

    /** A user gets word, given at [saidAt], that [id] is unknown; before its acceptance was told that was right. */
    fun notFound(id: String, saidAt: Long) {
        if (id in acceptedIds &&
            saidAt > (acceptedAt[id] ?: 0)
        ) {
            broken("forgotten", "$id was accepted and is now unknown")
        }
    }

    fun asksToCancel(id: String) {
        if (isDone(id)) return
        if (wanted.add(id)) wantedAt[id] = clock.time
    }

    /**
     * A user is told [status] in answer to what it asked at [askedAt]; only what was asked after an end was told can go
     * back.
     */
    fun told(id: String, status: String, askedAt: Long) {
        val before = finalTold[id]
        if (before != null && before != status && askedAt <= (finalToldAt[id] ?: 0L)) return
        if (before != null && before != status) broken("went_back", "$id was $before and is now $status")
        if (status == "done") {
            val tasks = simulation.users.spec(id)?.tasks ?: 0
            if (simulation.users.spec(id)?.shape ==
                Shape.SERVICE
            ) {
                broken("not_done", "$id is a service, which is never done")
            } else if ((done[id]?.size ?: 0) <
                tasks
            ) {
                broken("not_done", "$id has ${done[id]?.size ?: 0} of $tasks tasks done")
            }
            finalTold[id] = status
            finalToldAt.putIfAbsent(id, clock.time)
        }
        if (status == "aborted") {
            if (id !in wanted) broken("went_back", "$id was not cancelled by its user")
            finalTold[id] = status
            finalToldAt.putIfAbsent(id, clock.time)
            cancelledAt.putIfAbsent(id, clock.time)
        }
    }

    /** When the last fault ends; what has to hold from then on is checked from then on. */
    var calmFrom = Long.MAX_VALUE
    private val answeredAt = HashMap<String, Long>()
    private val acceptedAt = HashMap<String, Long>()
    private val begunAt = HashMap<String, Long>()
    private var slowChecksAt = 0L

    /** A poll about [id] was answered. */
    fun answered(id: String) {
        answeredAt[id] = clock.time
    }

    /** Once all faults are over, each open job's user gets an answer now and then, however others fare. */
    private fun checkSlowly() {
        if (clock.time < slowChecksAt) return
        slowChecksAt = clock.time + 1000
        if (clock.time < calmFrom) return
        for (id in acceptedIds) {
            if (id in finalTold) continue
            if (id in wanted) {
                val since = maxOf(calmFrom, wantedAt[id] ?: 0)
                if (clock.time - since >
                    UNANSWERED_MS
                ) {
                    broken("forgotten", "$id: its cancellation was not answered since $since")
                }
                continue
            }
            val since = maxOf(calmFrom, acceptedAt[id] ?: 0, answeredAt[id] ?: 0)
            if (clock.time - since > UNANSWERED_MS) broken("forgotten", "$id: no answer since $since")
        }
        checkWaiting()
    }

    /** At no moment may two controllers take themselves for entitled. */
    private fun checkLeaders() {
        var leading: SimulatedController? = null
        for (n in simulation.nodes) {
            if (!n.leads) continue
            if (leading != null) broken("two_lead", "${leading.label}, ${n.label}")
            leading = n
        }
    }

    /**
     * Once all faults are over, no task waits for long while a machine that fits has room and its team is under its
     * limit.
     */
    private fun checkWaiting() {
        val placed =
            simulation.cloud.workers.filter { it.present }.flatMap { w ->
                w.tasks.values
                    .filter {
                        it.phase !=
                            TaskStatus.Phase.EXITED
                    }.map { it to w }
            }
        val byJob = placed.groupBy { it.first.job }
        val used = HashMap<String, Double>()
        for ((t, _) in placed) {
            simulation.users
                .spec(
                    t.job,
                )?.let { used.merge(it.team, it.taskResources.cpus, Double::plus) }
        }
        val usable = simulation.cloud.workers.filter { it.usable }
        for (id in acceptedIds) {
            val spec = simulation.users.spec(id)
            val here = byJob[id] ?: emptyList()
            val ended = done[id] ?: emptySet()
            val waits =
                spec != null && id !in finalTold && id !in wanted &&
                    (0 until spec.tasks).any { i -> i !in ended && here.none { it.first.index == i } } &&
                    couldBegin(spec, here, used, usable)
            if (!waits) {
                waitingSince.remove(id)
                continue
            }
            val since = waitingSince.getOrPut(id) { clock.time }
            if (clock.time - since > WAITING_MS) {
                broken(
                    "left_waiting",
                    "$id: a machine that fits has had room since $since: $spec, ${here.size} of its tasks are on machines, ${ended.size} done",
                )
                waitingSince[id] = clock.time
            }
        }
        services.checkDown(::isOpen) { couldBegin(it, byJob[it.id] ?: emptyList(), used, usable, stopsLower = true) }
    }

    private fun couldBegin(
        spec: JobSpec,
        here: List<Pair<FakeWorker.Task, FakeWorker>>,
        used: Map<String, Double>,
        usable: List<FakeWorker>,
        stopsLower: Boolean = false,
    ): Boolean {
        val limit = simulation.limits.first { it.name == spec.team }.cpusMax
        if ((used[spec.team] ?: 0.0) + spec.taskResources.cpus > limit + 1e-6) return false
        return usable.any { w ->
            (spec.types == null || w.type.name in spec.types) && (spec.zone == null || spec.zone == w.zone) &&
                (!w.spot || spec.spotAllowed) && w.hasRoomFor(spec, stopsLower) &&
                (!spec.together || here.all { it.second.zone == w.zone }) &&
                (!spec.spread || here.count { it.second.zone == w.zone } < (spec.tasks + 1) / 2)
        }
    }

    /**
     * To be called when a day is over: what was put off for good, by class, by team, and among a class's largest jobs.
     */
    fun starved(): List<String> {
        val jobs = acceptedIds.filter { it !in wanted }.mapNotNull { simulation.users.spec(it) }

        fun served(some: List<JobSpec>) =
            some.count {
                (
                    (if (it.shape == Shape.SERVICE) begun else done)[it.id]?.size
                        ?: 0
                ) ==
                    it.tasks
            }
        val out = ArrayList<String>()
        val groups = jobs.groupBy { "class " + it.workload } + jobs.groupBy { "team " + it.team }
        for ((name, some) in groups) if (served(some) * 2 < some.size) out.add("$name: ${served(some)} of ${some.size}")
        for ((name, some) in jobs.groupBy { it.workload }) {
            val most = some.maxOf { it.tasks }
            val largest = some.filter { it.tasks * 10 >= most * 9 }
            if (served(largest) * 2 < largest.size) out.add("largest of $name: ${served(largest)} of ${largest.size}")
            for (job in largest) {
                val from = acceptedAt.getValue(job.id)
                val waited = (begunAt[job.id] ?: clock.time) - from
                if (waited > BEGIN_MS) out.add("${job.id}, among the largest of $name, waited $waited ms")
            }
        }
        return out
    }

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
        fullCheckAt = clock.time + 200
        val usage = HashMap<String, Double>()
        for (w in simulation.cloud.workers) {
            for (t in w.onMachine()) {
                val spec = simulation.users.spec(t.job) ?: continue
                usage.merge(spec.team, spec.taskResources.cpus, Double::plus)
                val since = cancelledAt[t.job]
                if (since != null &&
                    clock.time - since > simulation.cancelMs
                ) {
                    broken("ran_cancelled", "${t.name} on ${w.name}")
                }
            }
        }
        for (team in simulation.limits) {
            val used = usage[team.name] ?: continue
            if (used > team.cpusMax + 1e-6) broken("quota", "${team.name} uses $used of ${team.cpusMax}")
        }
    }

    private companion object {
        const val UNANSWERED_MS = 75_000L
        const val WAITING_MS = 90_000L
        const val BEGIN_MS = 240_000L
    }
}
