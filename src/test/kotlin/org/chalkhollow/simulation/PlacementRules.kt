package org.chalkhollow.simulation

import org.chalkhollow.model.JobSpec

/** Where and when tasks run: once, where their job allows it, within the team's limit, not after a cancellation. */
class PlacementRules(private val simulation: Simulation, private val history: JobHistory) {
    private val clock = simulation.clock

    private fun broken(rule: String, what: String) = simulation.rules.broken(rule, what)

    /** [task] of [spec] has begun on [worker]. */
    fun started(task: FakeTask, spec: JobSpec, worker: FakeWorker) {
        val cancelledAt = history.cancelledAt[task.job]
        if (cancelledAt != null && task.sentAt > cancelledAt) {
            broken("ran_cancelled", "${task.name} was told to start after its user was told that it is cancelled")
        }
        for (other in simulation.cloud.workers) {
            if (other !== worker && other.onMachine().any { it.name == task.name }) {
                broken("ran_twice", "${task.name} on ${worker.name} and ${other.name}")
            }
        }
        checkMachine(task, spec, worker)
        checkZones(spec, worker)
    }

    private fun checkMachine(task: FakeTask, spec: JobSpec, worker: FakeWorker) {
        if (spec.types != null && worker.type.name !in spec.types) {
            broken("wrong_place", "${task.name} on type ${worker.type.name}")
        }
        if (spec.zone != null && spec.zone != worker.zone) broken("wrong_place", "${task.name} in ${worker.zone}")
        if (worker.spot && !spec.spotAllowed) broken("wrong_place", "${task.name} on a spot machine")
    }

    private fun checkZones(spec: JobSpec, worker: FakeWorker) {
        val zones =
            simulation.cloud.workers.flatMap { other ->
                other.onMachine().filter { it.job == spec.id }.map { other.zone }
            }
        if (spec.together && zones.toSet().size > 1) broken("wrong_place", "${spec.id} is in two zones")
        if (spec.spread && zones.count { it == worker.zone } > (spec.tasks + 1) / 2) {
            broken("wrong_place", "${spec.id} is not spread")
        }
    }

    /** What is on machines now: nothing that was cancelled long ago, and no more than teams may use. */
    fun checkMachines() {
        val usage = HashMap<String, Double>()
        for (worker in simulation.cloud.workers) {
            for (task in worker.onMachine()) {
                val spec = simulation.users.spec(task.job) ?: continue
                usage.merge(spec.team, spec.taskResources.cpus, Double::plus)
                val since = history.cancelledAt[task.job] ?: continue
                if (clock.time - since > simulation.cancelMs) broken("ran_cancelled", "${task.name} on ${worker.name}")
            }
        }
        for (team in simulation.limits) {
            val used = usage[team.name] ?: continue
            if (used > team.cpusMax + ROUNDING) broken("quota", "${team.name} uses $used of ${team.cpusMax}")
        }
    }

    private companion object {
        const val ROUNDING = 1e-6
    }
}
