package org.chalkhollow.simulation

import org.chalkhollow.model.JobSpec

/**
 * Checks after the last fault that no task stays pending for long while a usable machine has free capacity for it and
 * its team is under its limit.
 */
class WaitingRules(
    private val simulation: Simulation,
    private val history: JobHistory,
    private val services: ServiceRules,
) {
    private val clock = simulation.clock
    private val pendingSinceMs = HashMap<String, Long>()

    /** A task and the machine that it is on. */
    private class Placed(val task: FakeTask, val worker: FakeWorker)

    /** A snapshot of the machines and the tasks on them. */
    private inner class Fleet {
        private val placed =
            simulation.cloud.workers
                .filter { it.present }
                .flatMap { worker ->
                    worker.tasks.all
                        .filter { !it.exited }
                        .map { Placed(it, worker) }
                }
        private val byJob = placed.groupBy { it.task.job }
        private val usable = simulation.cloud.workers.filter { it.usable }
        private val usedCpus = HashMap<String, Double>()

        init {
            for (item in placed) {
                val spec = simulation.users.spec(item.task.job) ?: continue
                usedCpus.merge(spec.team, spec.taskResources.cpus, Double::plus)
            }
        }

        fun of(id: String): List<Placed> = byJob[id] ?: emptyList()

        /**
         * Whether one more task of [spec] could start: its team is under its limit, and a usable machine has free
         * capacity for it. With [preemptsLower], tasks of lower priority are not counted, see
         * [FakeTasks.hasCapacityFor].
         */
        fun canStart(spec: JobSpec, preemptsLower: Boolean = false): Boolean {
            val placedTasks = of(spec.id)
            val limit = simulation.teams.first { it.name == spec.team }.cpusMax
            if ((usedCpus[spec.team] ?: 0.0) + spec.taskResources.cpus > limit + ROUNDING_TOLERANCE) return false
            return usable.any {
                allows(spec, it) && it.hasCapacityFor(spec, preemptsLower) &&
                    zoneAllows(spec, placedTasks, it.zone)
            }
        }

        private fun allows(spec: JobSpec, worker: FakeWorker): Boolean =
            (spec.types == null || worker.type.name in spec.types) && (!worker.spot || spec.spotAllowed)

        private fun zoneAllows(spec: JobSpec, placedTasks: List<Placed>, zone: String): Boolean =
            (spec.zone == null || spec.zone == zone) &&
                (!spec.together || placedTasks.all { it.worker.zone == zone }) &&
                (!spec.spread || placedTasks.count { it.worker.zone == zone } < (spec.tasks + 1) / 2)
    }

    /** Called once a second after the last fault. */
    fun check() {
        val fleet = Fleet()
        for (id in history.accepted) {
            val spec = simulation.users.spec(id)
            if (spec != null && isPending(spec, fleet)) notePending(spec, fleet) else pendingSinceMs.remove(id)
        }
        services.checkDown(history::isOpen) { fleet.canStart(it, preemptsLower = true) }
    }

    /** Whether a task of [spec] is neither done nor on a machine although one could start. */
    private fun isPending(spec: JobSpec, fleet: Fleet): Boolean {
        if (!history.isOpen(spec.id)) return false
        val done = history.completedTasks[spec.id] ?: emptySet()
        val placedTasks = fleet.of(spec.id)
        val isMissing = (0 until spec.tasks).any { i -> i !in done && placedTasks.none { it.task.index == i } }
        return isMissing && fleet.canStart(spec)
    }

    private fun notePending(spec: JobSpec, fleet: Fleet) {
        val since = pendingSinceMs.getOrPut(spec.id) { clock.timeMs }
        if (clock.timeMs - since <= MAX_PENDING_MS) return
        val state = "${fleet.of(spec.id).size} of its tasks are on machines, ${history.completedCount(spec.id)} done"
        simulation.rules.recordViolation(
            "left_waiting",
            "${spec.id}: a usable machine has had free capacity since $since: $spec, $state",
        )
        pendingSinceMs[spec.id] = clock.timeMs
    }

    private companion object {
        const val MAX_PENDING_MS = 90_000L
        const val ROUNDING_TOLERANCE = 1e-6
    }
}
