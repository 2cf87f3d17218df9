package org.chalkhollow.simulation

import org.chalkhollow.model.Command
import org.chalkhollow.model.ExitCause
import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.Shape
import org.chalkhollow.model.TaskStatus

/** The tasks on one [worker]: executes commands, runs tasks to their end, and computes the free capacity. */
class FakeTasks(private val simulation: Simulation, private val worker: FakeWorker) {
    private val clock = simulation.clock
    private val byAttempt = LinkedHashMap<String, FakeTask>()

    /** Names of the tasks that completed on this machine. */
    private val completed = HashSet<String>()

    /** All attempts, including those that have exited, until a controller sends a [Command.Forget]. */
    val all: Collection<FakeTask> get() = byAttempt.values

    fun clear() = byAttempt.clear()

    /** Executes [command], which a controller sent at [sentAtMs]. */
    fun execute(command: Command, sentAtMs: Long) {
        val key = "${command.jobId}/${command.index}#${command.attempt}"
        val known = byAttempt[key]
        when (command) {
            is Command.Start -> if (known == null) start(key, command, sentAtMs)
            is Command.Stop -> if (known != null && !known.exited) stop(known, command.graceS, key)
            is Command.Forget -> if (known?.exited == true) byAttempt.remove(key)
        }
        worker.requestHeartbeat()
    }

    /**
     * Stops [task]. A running task with checkpoints saves one first if the grace period is long enough. A stop without
     * a grace period ends a task that is saving.
     */
    private fun stop(task: FakeTask, graceS: Double, key: String) {
        val spec = simulation.users.spec(task.job)
        when {
            task.phase == TaskStatus.Phase.SAVING -> if (graceS <= 0.0) exit(task, ExitCause.STOPPED)
            task.phase == TaskStatus.Phase.RUNNING && spec != null && spec.checkpointS > 0 && graceS >= spec.saveS -> {
                task.phase = TaskStatus.Phase.SAVING
                later(task, (spec.saveS * 1000).toLong(), key) { exit(task, ExitCause.STOPPED) }
            }
            else -> exit(task, ExitCause.STOPPED)
        }
    }

    private fun start(key: String, command: Command.Start, sentAtMs: Long) {
        val task = FakeTask(command.jobId, command.index, command.attempt, sentAtMs)
        val alreadyRuns = all.any { it.name == task.name && !it.exited }
        val spec = simulation.users.spec(command.jobId)
        byAttempt[key] = task
        when {
            spec == null -> exit(task, ExitCause.UNKNOWN_TASK)
            alreadyRuns -> exit(task, ExitCause.OTHER_ATTEMPT_PRESENT)
            usedCpus() > worker.type.capacity.cpus + ROUNDING_TOLERANCE -> exit(task, ExitCause.NO_FREE_CAPACITY)
            task.name in completed -> startRunning(task, spec, key) // its image is cached
            else -> later(task, clock.between(200, 3000), key) { startRunning(task, spec, key) }
        }
    }

    /**
     * Whether there is enough free capacity for a task of [spec] besides the fetching, running and saving tasks. With
     * [preemptsLower], tasks of lower priority are not counted.
     */
    fun hasCapacityFor(spec: JobSpec, preemptsLower: Boolean = false): Boolean {
        val capacity = worker.type.capacity
        val counted =
            all
                .filter { !it.exited }
                .mapNotNull { simulation.users.spec(it.job) }
                .filter { !preemptsLower || it.priority <= spec.priority }
        return counted.sumOf {
            it.taskResources.cpus
        } + spec.taskResources.cpus <= capacity.cpus + ROUNDING_TOLERANCE &&
            counted.sumOf { it.taskResources.memoryGb } + spec.taskResources.memoryGb <=
            capacity.memoryGb + ROUNDING_TOLERANCE
    }

    private fun usedCpus(): Double {
        val specs = all.filter { !it.exited }.map { simulation.users.spec(it.job) }
        return specs.sumOf { it?.taskResources?.cpus ?: 0.0 }
    }

    private fun startRunning(task: FakeTask, spec: JobSpec, key: String) {
        task.phase = TaskStatus.Phase.RUNNING
        simulation.rules.machinesChanged()
        simulation.rules.started(task, spec, worker)
        worker.requestHeartbeat()
        if (spec.shape == Shape.SERVICE) return runReplica(task, key)
        if (task.name in completed) return exit(task, ExitCause.DONE)
        val ms = (spec.expectedS * 1000 * (0.5 + clock.random.nextDouble())).toLong()
        task.endsAtMs = clock.timeMs + ms
        simulation.users.taskStarted(task, ms)
        later(task, if (worker.isFaulty) FAULTY_RUN_MS else ms, key) {
            if (task.phase != TaskStatus.Phase.RUNNING) return@later // it is saving, and ends when that is done
            if (!worker.isFaulty) {
                completed.add(task.name)
                simulation.rules.completed(task)
            }
            exit(task, if (worker.isFaulty) ExitCause.ERROR else ExitCause.DONE)
        }
    }

    /** Runs a replica until it is stopped or [endReplica] is called. On a faulty machine it fails. */
    private fun runReplica(task: FakeTask, key: String) {
        task.endsAtMs = Long.MAX_VALUE
        if (worker.isFaulty) later(task, FAULTY_RUN_MS, key) { exit(task, ExitCause.ERROR) }
    }

    /** Ends replica [index] of service [job] as if it had exited by itself. Returns false if it does not run here. */
    fun endReplica(job: String, index: Int, cause: ExitCause): Boolean {
        val task =
            all.firstOrNull { it.job == job && it.index == index && it.phase == TaskStatus.Phase.RUNNING }
                ?: return false
        exit(task, cause)
        return true
    }

    /**
     * Calls [run] after [ms], or when a hanging machine resumes. Does nothing if [task] has exited or is no longer on
     * this machine.
     */
    private fun later(task: FakeTask, ms: Long, key: String, run: () -> Unit) {
        clock.after(ms) {
            if (worker.dead || byAttempt[key] !== task || task.exited) return@after
            if (worker.hanging) {
                later(task, worker.hangUntilMs - clock.timeMs + 1, key, run)
            } else {
                worker.expire()
                if (byAttempt[key] === task) run()
            }
        }
    }

    private fun exit(task: FakeTask, cause: ExitCause) {
        task.phase = TaskStatus.Phase.EXITED
        task.cause = cause
        worker.requestHeartbeat()
    }

    /** Running and saving tasks. */
    fun running(): List<FakeTask> =
        all.filter { it.phase == TaskStatus.Phase.RUNNING || it.phase == TaskStatus.Phase.SAVING }

    private companion object {
        /** Tolerance for rounding errors in sums of resources. */
        const val ROUNDING_TOLERANCE = 1e-6

        /** How long a task on a faulty machine runs before it fails. */
        const val FAULTY_RUN_MS = 300L
    }
}
