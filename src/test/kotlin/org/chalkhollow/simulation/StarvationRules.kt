package org.chalkhollow.simulation

import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.Shape

/** When a day is over: no class, team or size of job was put off for good. */
class StarvationRules(private val simulation: Simulation, private val history: JobHistory) {
    /** What was put off for good, by class, by team, and among a class's largest jobs. */
    fun starved(): List<String> {
        val jobs = history.accepted.filter { it !in history.cancelRequestedAtMs }.mapNotNull(history::spec)
        val out = ArrayList<String>()
        val groups = jobs.groupBy { "class " + it.workload } + jobs.groupBy { "team " + it.team }
        for ((name, group) in groups) checkServed(name, group, out)
        for ((name, group) in jobs.groupBy { it.workload }) checkLargest(name, group, out)
        return out
    }

    /** Half of a group is to be served: batch work completed, and services begun. */
    private fun checkServed(name: String, group: List<JobSpec>, out: MutableList<String>) {
        val served = group.count(::isServed)
        if (served * 2 < group.size) out.add("$name: $served of ${group.size}")
    }

    private fun isServed(spec: JobSpec): Boolean {
        val tasks = if (spec.shape == Shape.SERVICE) history.startedTasks else history.completedTasks
        return (tasks[spec.id]?.size ?: 0) == spec.tasks
    }

    private fun checkLargest(name: String, group: List<JobSpec>, out: MutableList<String>) {
        val most = group.maxOf { it.tasks }
        val largest = group.filter { it.tasks * 10 >= most * 9 }
        checkServed("largest of $name", largest, out)
        for (job in largest) {
            val waited =
                (history.firstStartAtMs[job.id] ?: simulation.clock.timeMs) - history.acceptedAtMs.getValue(job.id)
            if (waited > MAX_WAIT_MS) out.add("${job.id}, among the largest of $name, waited $waited ms")
        }
    }

    private companion object {
        const val MAX_WAIT_MS = 240_000L
    }
}
