package org.chalkhollow.simulation

import org.chalkhollow.model.JobSpec

/** What has become of each job, as its user was told and as the machines ran it; the rules read it. */
class JobHistory(private val simulation: Simulation) {
    private val clock = simulation.clock

    /** When users were told that a job is accepted, and when a poll about it was answered last. */
    val acceptedAtMs = HashMap<String, Long>()
    val lastPollAnsweredAtMs = HashMap<String, Long>()

    /** When users asked first to cancel a job, and when they were told that it is cancelled. */
    val cancelRequestedAtMs = HashMap<String, Long>()
    val cancelledAtMs = HashMap<String, Long>()

    /** The end that users were told, and when first. */
    val reportedEnd = HashMap<String, String>()
    val endReportedAtMs = HashMap<String, Long>()

    /** Indices of tasks that have begun at least once, and of those that were completedTasks. */
    val startedTasks = HashMap<String, HashSet<Int>>()
    val completedTasks = HashMap<String, HashSet<Int>>()

    /** When the first task of a job began, and when its last was completedTasks. */
    val firstStartAtMs = HashMap<String, Long>()
    private val completedAtMs = HashMap<String, Long>()

    val accepted: Set<String> get() = acceptedAtMs.keys

    fun spec(id: String): JobSpec? = simulation.users.spec(id)

    fun completedCount(id: String): Int = completedTasks[id]?.size ?: 0

    fun started(task: FakeTask) {
        firstStartAtMs.putIfAbsent(task.job, clock.timeMs)
        startedTasks.getOrPut(task.job) { HashSet() }.add(task.index)
    }

    fun completed(task: FakeTask) {
        val done = completedTasks.getOrPut(task.job) { HashSet() }
        if (done.add(task.index) && done.size == spec(task.job)?.tasks) {
            completedAtMs[task.job] = clock.timeMs
            simulation.users.lastTaskCompleted(task.job)
        }
    }

    /** Whether all other tasks of its job are done. */
    fun isLastTask(task: FakeTask): Boolean {
        val done = completedTasks[task.job] ?: emptySet()
        return task.index !in done && done.size + 1 == spec(task.job)?.tasks
    }

    /** Whether [id] is accepted, and neither over nor called off by its user. */
    fun isOpen(id: String): Boolean = id in accepted && id !in reportedEnd && id !in cancelRequestedAtMs

    /** Accepted jobs whose end nobody was told yet. */
    fun unfinishedJobs(): List<String> =
        accepted.filter { it !in reportedEnd }.sorted().map { id ->
            "$id: ${completedCount(id)} of ${spec(id)?.tasks} tasks, ${spec(id)}"
        }

    /** Accepted jobs that were complete by their deadline, counted from their acceptance. */
    val onTimeCount: Int
        get() =
            accepted.count { id ->
                val dueS = spec(id)?.dueS
                val end = completedAtMs[id]
                dueS != null && end != null && end - acceptedAtMs.getValue(id) <= dueS * 1000
            }
}
