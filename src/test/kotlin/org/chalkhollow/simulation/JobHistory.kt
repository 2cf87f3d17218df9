package org.chalkhollow.simulation

import org.chalkhollow.model.JobSpec

/** What has become of each job, as its user was told and as the machines ran it; the rules read it. */
class JobHistory(private val simulation: Simulation) {
    private val clock = simulation.clock

    /** When users were told that a job is accepted, and when a poll about it was answered last. */
    val acceptedAt = HashMap<String, Long>()
    val answeredAt = HashMap<String, Long>()

    /** When users asked first to cancel a job, and when they were told that it is cancelled. */
    val cancelRequestedAt = HashMap<String, Long>()
    val cancelledAt = HashMap<String, Long>()

    /** The end that users were told, and when first. */
    val endTold = HashMap<String, String>()
    val endToldAt = HashMap<String, Long>()

    /** Indices of tasks that have begun at least once, and of those that were completed. */
    val begun = HashMap<String, HashSet<Int>>()
    val completed = HashMap<String, HashSet<Int>>()

    /** When the first task of a job began, and when its last was completed. */
    val begunAt = HashMap<String, Long>()
    private val completedAt = HashMap<String, Long>()

    val accepted: Set<String> get() = acceptedAt.keys

    fun spec(id: String): JobSpec? = simulation.users.spec(id)

    fun completedCount(id: String): Int = completed[id]?.size ?: 0

    fun started(task: FakeTask) {
        begunAt.putIfAbsent(task.job, clock.time)
        begun.getOrPut(task.job) { HashSet() }.add(task.index)
    }

    fun completed(task: FakeTask) {
        val ended = completed.getOrPut(task.job) { HashSet() }
        if (ended.add(task.index) && ended.size == spec(task.job)?.tasks) {
            completedAt[task.job] = clock.time
            simulation.users.ended(task.job)
        }
    }

    /** Whether all other tasks of its job are done. */
    fun isLast(task: FakeTask): Boolean {
        val ended = completed[task.job] ?: emptySet()
        return task.index !in ended && ended.size + 1 == spec(task.job)?.tasks
    }

    /** Whether [id] is accepted, and neither over nor called off by its user. */
    fun isOpen(id: String): Boolean = id in accepted && id !in endTold && id !in cancelRequestedAt

    /** Accepted jobs whose end nobody was told yet. */
    fun pending(): List<String> =
        accepted.filter { it !in endTold }.sorted().map { id ->
            "$id: ${completedCount(id)} of ${spec(id)?.tasks} tasks, ${spec(id)}"
        }

    /** Accepted jobs that were complete by their deadline, counted from their acceptance. */
    val onTimeCount: Int
        get() =
            accepted.count { id ->
                val dueS = spec(id)?.dueS
                val end = completedAt[id]
                dueS != null && end != null && end - acceptedAt.getValue(id) <= dueS * 1000
            }
}
