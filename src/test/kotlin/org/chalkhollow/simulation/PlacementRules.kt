package org.chalkhollow.simulation

import org.chalkhollow.model.JobSpec

/**
 * Checks that a task runs on one machine at a time and only where its job allows it, that teams stay within their
 * limits, and that no task runs after a cancellation.
 */
class PlacementRules(private val simulation: Simulation, private val history: JobHistory) {
    private val clock = simulation.clock

    private fun recordViolation(rule: String, detail: String) = simulation.rules.recordViolation(rule, detail)

    /** Checks [task] of [spec], which began to run on [worker]. */
    fun started(task: FakeTask, spec: JobSpec, worker: FakeWorker) {
        val cancelledAtMs = history.cancelledAtMs[task.job]
        if (cancelledAtMs != null && task.sentAtMs > cancelledAtMs) {
            recordViolation(
                "ran_cancelled",
                "a start of ${task.name} was sent after its user was told that its job is cancelled",
            )
        }
        for (other in simulation.cloud.workers) {
            if (other !== worker && other.activeTasks().any { it.name == task.name }) {
                recordViolation("ran_twice", "${task.name} runs on ${worker.name} and on ${other.name}")
            }
        }
        checkMachine(task, spec, worker)
        checkZones(spec, worker)
        checkMachines() // now, since a task that was completed before ends as soon as it starts
    }

    private fun checkMachine(task: FakeTask, spec: JobSpec, worker: FakeWorker) {
        if (spec.types != null && worker.type.name !in spec.types) {
            recordViolation(
                "wrong_place",
                "${task.name} runs on machine type ${worker.type.name}, allowed are ${spec.types}",
            )
        }
        if (spec.zone != null &&
            spec.zone != worker.zone
        ) {
            recordViolation("wrong_place", "${task.name} runs in zone ${worker.zone}, allowed is ${spec.zone}")
        }
        if (worker.spot &&
            !spec.spotAllowed
        ) {
            recordViolation("wrong_place", "${task.name} runs on a spot machine, which its job does not allow")
        }
    }

    private fun checkZones(spec: JobSpec, worker: FakeWorker) {
        val zones =
            simulation.cloud.workers.flatMap { other ->
                other.activeTasks().filter { it.job == spec.id }.map { other.zone }
            }
        if (spec.together &&
            zones.toSet().size > 1
        ) {
            recordViolation("wrong_place", "${spec.id} runs in several zones, but its tasks belong together")
        }
        if (spec.spread && zones.count { it == worker.zone } > (spec.tasks + 1) / 2) {
            recordViolation(
                "wrong_place",
                "${spec.id} has more than half of its tasks in zone ${worker.zone}, but must be spread",
            )
        }
    }

    /**
     * Checks the tasks on all machines: none may run longer than allowed after its cancellation, and no team may use
     * more CPUs than its limit.
     */
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
                    recordViolation(
                        "ran_cancelled",
                        "${task.name} still runs on ${worker.name}, cancelled at $since",
                    )
                }
            }
        }
        for (team in simulation.teams) {
            val used = usage[team.name] ?: continue
            if (used >
                team.cpusMax + ROUNDING_TOLERANCE
            ) {
                recordViolation("quota", "team ${team.name} uses $used CPUs, its limit is ${team.cpusMax}")
            }
        }
    }

    private companion object {
        const val ROUNDING_TOLERANCE = 1e-6
    }
}
