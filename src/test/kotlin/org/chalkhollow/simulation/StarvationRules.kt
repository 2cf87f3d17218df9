package org.chalkhollow.simulation

import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.Shape

/** Checks at the end of a simulation that no class, team or size of job was starved. */
class StarvationRules(private val simulation: Simulation, private val history: JobHistory) {
    /** Describes the starved job classes and teams, and the starved largest jobs of each class. Empty if none is. */
    fun starved(): List<String> {
        val jobs = history.accepted.filter { it !in history.cancelRequestedAtMs }.mapNotNull(history::spec)
        val out = ArrayList<String>()
        val groups = jobs.groupBy { "class " + it.workload } + jobs.groupBy { "team " + it.team }
        for ((name, group) in groups) checkServed(name, group, out)
        for ((name, group) in jobs.groupBy { it.workload }) checkLargest(name, group, out)
        return out
    }

    /** At least half of a group must be served: batch jobs completed, and all replicas of services started. */
    private fun checkServed(name: String, group: List<JobSpec>, out: MutableList<String>) {
        val served = group.count(::isServed)
        if (served * 2 < group.size) out.add("$name: $served of ${group.size} jobs were served")
    }

    private fun isServed(spec: JobSpec): Boolean {
        val tasks = if (spec.shape == Shape.SERVICE) history.startedTasks else history.completedTasks
        return (tasks[spec.id]?.size ?: 0) == spec.tasks
    }

    /** Checks the jobs of a class with at least 90% of the tasks of its largest job. */
    private fun checkLargest(name: String, group: List<JobSpec>, out: MutableList<String>) {
        val most = group.maxOf { it.tasks }
        val largest = group.filter { it.tasks * 10 >= most * 9 }
        checkServed("largest of $name", largest, out)
        for (job in largest) {
            val waitedMs =
                (history.firstStartAtMs[job.id] ?: simulation.clock.timeMs) - history.acceptedAtMs.getValue(job.id)
            if (waitedMs >
                MAX_WAIT_MS
            ) {
                out.add("${job.id}, among the largest of class $name, waited $waitedMs ms for its first start")
            }
        }
    }

    private companion object {
        /** The longest time for which one of the largest jobs may wait for its first start. */
        const val MAX_WAIT_MS = 240_000L
    }
}
