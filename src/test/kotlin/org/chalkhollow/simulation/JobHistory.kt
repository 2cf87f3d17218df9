package org.chalkhollow.simulation

import org.chalkhollow.model.JobSpec

/** What users were told about each job, and which of its tasks ran on machines. The rules read it. */
class JobHistory(private val simulation: Simulation) {
    private val clock = simulation.clock

    /** When users first learned that a job is accepted. */
    val acceptedAtMs = HashMap<String, Long>()

    /** When the last response to a poll about a job arrived. */
    val lastPollResponseAtMs = HashMap<String, Long>()

    /** When users first requested to cancel a job. */
    val cancelRequestedAtMs = HashMap<String, Long>()

    /** When users learned that a job is cancelled. */
    val cancelledAtMs = HashMap<String, Long>()

    /** The final state that users were told: [UserRules.DONE] or [UserRules.CANCELLED]. */
    val reportedEnd = HashMap<String, String>()

    /** When users were first told a final state. */
    val endReportedAtMs = HashMap<String, Long>()

    /** Indices of the tasks that ran at least once, by job. */
    val startedTasks = HashMap<String, HashSet<Int>>()

    /** Indices of the tasks that completed, by job. */
    val completedTasks = HashMap<String, HashSet<Int>>()

    /** When the first task of a job began to run. */
    val firstStartAtMs = HashMap<String, Long>()

    /** When the last task of a job completed. */
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

    /** Whether [task] is not done and all other tasks of its job are. */
    fun isLastTask(task: FakeTask): Boolean {
        val done = completedTasks[task.job] ?: emptySet()
        return task.index !in done && done.size + 1 == spec(task.job)?.tasks
    }

    /** Whether [id] is accepted, has not ended, and no user requested to cancel it. */
    fun isOpen(id: String): Boolean = id in accepted && id !in reportedEnd && id !in cancelRequestedAtMs

    /** Descriptions of the accepted jobs whose end no user has learned. */
    fun unfinishedJobs(): List<String> =
        accepted.filter { it !in reportedEnd }.sorted().map { id ->
            "$id: ${completedCount(id)} of ${spec(id)?.tasks} tasks, ${spec(id)}"
        }

    /** How many jobs completed by their deadline, which counts from the time at which users learned the acceptance. */
    val onTimeCount: Int
        get() =
            accepted.count { id ->
                val dueS = spec(id)?.dueS
                val end = completedAtMs[id]
                dueS != null && end != null && end - acceptedAtMs.getValue(id) <= dueS * 1000
            }
}
