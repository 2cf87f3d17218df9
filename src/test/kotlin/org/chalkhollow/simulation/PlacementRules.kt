package org.chalkhollow.simulation

import org.chalkhollow.model.JobSpec

/** Where and when tasks run: once, where their job allows it, within the team's limit, not after a cancellation. */
class PlacementRules(private val simulation: Simulation, private val history: JobHistory) {
    private val clock = simulation.clock

    private fun recordViolation(rule: String, detail: String) = simulation.rules.recordViolation(rule, detail)

    /** [task] of [spec] has begun on [worker]. */
    fun started(task: FakeTask, spec: JobSpec, worker: FakeWorker) {
        val cancelledAt = history.cancelledAtMs[task.job]
        if (cancelledAt != null && task.sentAtMs > cancelledAt) {
            recordViolation(
                "ran_cancelled",
                "${task.name} was told to start after its user was told that it is cancelled",
            )
        }
        for (other in simulation.cloud.workers) {
            if (other !== worker && other.activeTasks().any { it.name == task.name }) {
                recordViolation("ran_twice", "${task.name} on ${worker.name} and ${other.name}")
            }
        }
        checkMachine(task, spec, worker)
        checkZones(spec, worker)
    }

    private fun checkMachine(task: FakeTask, spec: JobSpec, worker: FakeWorker) {
        if (spec.types != null && worker.type.name !in spec.types) {
            recordViolation("wrong_place", "${task.name} on type ${worker.type.name}")
        }
        if (spec.zone != null &&
            spec.zone != worker.zone
        ) {
            recordViolation("wrong_place", "${task.name} in ${worker.zone}")
        }
        if (worker.spot && !spec.spotAllowed) recordViolation("wrong_place", "${task.name} on a spot machine")
    }

    private fun checkZones(spec: JobSpec, worker: FakeWorker) {
        val zones =
            simulation.cloud.workers.flatMap { other ->
                other.activeTasks().filter { it.job == spec.id }.map { other.zone }
            }
        if (spec.together && zones.toSet().size > 1) recordViolation("wrong_place", "${spec.id} is in two zones")
        if (spec.spread && zones.count { it == worker.zone } > (spec.tasks + 1) / 2) {
            recordViolation("wrong_place", "${spec.id} is not spread")
        }
    }

    /** What is on machines now: nothing that was cancelled long ago, and no more than teams may use. */
    fun checkMachines() {
        val usage = HashMap<String, Double>()
        for (worker in simulation.cloud.workers) {
            for (task in worker.activeTasks()) {
                val spec = simulation.users.spec(task.job) ?: continue
                usage.merge(spec.team, spec.taskResources.cpus, Double::plus)
                val since = history.cancelledAtMs[task.job] ?: continue
                if (clock.timeMs - since >
                    simulation.cancelMs
                ) {
                    recordViolation("ran_cancelled", "${task.name} on ${worker.name}")
                }
            }
        }
        for (team in simulation.teams) {
            val used = usage[team.name] ?: continue
            if (used >
                team.cpusMax + ROUNDING_TOLERANCE
            ) {
                recordViolation("quota", "${team.name} uses $used of ${team.cpusMax}")
            }
        }
    }

    private companion object {
        const val ROUNDING_TOLERANCE = 1e-6
    }
}
