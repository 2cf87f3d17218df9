package org.chalkhollow.simulation

import org.chalkhollow.model.Command
import org.chalkhollow.model.ExitCause
import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.Shape
import org.chalkhollow.model.TaskStatus

/** The tasks on one [worker]: carries commands out, runs tasks to their ends, and counts the room that they take. */
class FakeTasks(private val simulation: Simulation, private val worker: FakeWorker) {
    private val clock = simulation.clock
    private val byAttempt = LinkedHashMap<String, FakeTask>()

    /** Names of tasks that were completed here. */
    private val completed = HashSet<String>()

    /** Every task, also those that have exited and were not forgotten yet. */
    val all: Collection<FakeTask> get() = byAttempt.values

    fun clear() = byAttempt.clear()

    /** Carries out [command], which a controller sent at [sentAt]. */
    fun execute(command: Command, sentAt: Long) {
        val key = "${command.jobId}/${command.index}#${command.attempt}"
        val known = byAttempt[key]
        when (command) {
            is Command.Start -> if (known == null) start(key, command, sentAt)
            is Command.Stop -> if (known != null && !known.exited) stop(known, command.graceS, key)
            is Command.Forget -> if (known?.exited == true) byAttempt.remove(key)
        }
        worker.changed()
    }

    /**
     * A running task that has checkpoints saves first if it is given the time; one that saves is ended by a stop
     * without any.
     */
    private fun stop(task: FakeTask, graceS: Double, key: String) {
        val spec = simulation.users.spec(task.job)
        when {
            task.phase == TaskStatus.Phase.SAVING -> if (graceS <= 0.0) exit(task, ExitCause.STOPPED)
            task.phase == TaskStatus.Phase.RUNNING && spec != null && spec.checkpointS > 0 && graceS >= spec.saveS -> {
                task.phase = TaskStatus.Phase.SAVING
                at(task, (spec.saveS * 1000).toLong(), key) { exit(task, ExitCause.STOPPED) }
            }
            else -> exit(task, ExitCause.STOPPED)
        }
    }

    private fun start(key: String, command: Command.Start, sentAt: Long) {
        val task = FakeTask(command.jobId, command.index, command.attempt, sentAt)
        val same = all.any { it.name == task.name && !it.exited }
        val spec = simulation.users.spec(command.jobId)
        byAttempt[key] = task
        when {
            spec == null -> exit(task, ExitCause.UNKNOWN_TASK)
            same -> exit(task, ExitCause.OTHER_ATTEMPT_PRESENT)
            usedCpus() > worker.type.capacity.cpus + ROUNDING -> exit(task, ExitCause.NO_FREE_CAPACITY)
            else -> at(task, clock.between(200, 3000), key) { begin(task, spec, key) }
        }
    }

    /**
     * Whether fetching, running and saving tasks leave room for a task of [spec]; with [stopsLower], those of lower
     * priority do not count.
     */
    fun hasRoomFor(spec: JobSpec, stopsLower: Boolean = false): Boolean {
        val room = worker.type.capacity
        val here =
            all
                .filter { !it.exited }
                .mapNotNull { simulation.users.spec(it.job) }
                .filter { !stopsLower || it.priority <= spec.priority }
        return here.sumOf { it.taskResources.cpus } + spec.taskResources.cpus <= room.cpus + ROUNDING &&
            here.sumOf { it.taskResources.memoryGb } + spec.taskResources.memoryGb <= room.memoryGb + ROUNDING
    }

    private fun usedCpus(): Double {
        val specs = all.filter { !it.exited }.map { simulation.users.spec(it.job) }
        return specs.sumOf { it?.taskResources?.cpus ?: 0.0 }
    }

    private fun begin(task: FakeTask, spec: JobSpec, key: String) {
        task.phase = TaskStatus.Phase.RUNNING
        simulation.rules.touched()
        simulation.rules.started(task, spec, worker)
        worker.changed()
        if (spec.shape == Shape.SERVICE) return serve(task, key)
        if (task.name in completed) return exit(task, ExitCause.DONE)
        val ms = (spec.expectedS * 1000 * (0.5 + clock.random.nextDouble())).toLong()
        task.endsAt = clock.time + ms
        simulation.users.runs(task, ms)
        at(task, if (worker.sick) FAILS_AFTER_MS else ms, key) {
            if (task.phase != TaskStatus.Phase.RUNNING) return@at // it was told to save and ends by that
            if (!worker.sick) {
                completed.add(task.name)
                simulation.rules.completed(task)
            }
            exit(task, if (worker.sick) ExitCause.ERROR else ExitCause.DONE)
        }
    }

    /** A replica runs until it is stopped, or until [end]; on a sick machine it fails. */
    private fun serve(task: FakeTask, key: String) {
        task.endsAt = Long.MAX_VALUE
        if (worker.sick) at(task, FAILS_AFTER_MS, key) { exit(task, ExitCause.ERROR) }
    }

    /** Replica [index] of service [job] ends by itself here; false if it does not run here. */
    fun end(job: String, index: Int, cause: ExitCause): Boolean {
        val task =
            all.firstOrNull { it.job == job && it.index == index && it.phase == TaskStatus.Phase.RUNNING }
                ?: return false
        exit(task, cause)
        return true
    }

    /** Goes on with [task] later, if it is still there; a hanging machine goes on when it resumes. */
    private fun at(task: FakeTask, ms: Long, key: String, run: () -> Unit) {
        clock.after(ms) {
            if (worker.dead || byAttempt[key] !== task || task.exited) return@after
            if (worker.hanging) {
                at(task, worker.hangUntil - clock.time + 1, key, run)
            } else {
                worker.expire()
                if (byAttempt[key] === task) run()
            }
        }
    }

    private fun exit(task: FakeTask, cause: ExitCause) {
        task.phase = TaskStatus.Phase.EXITED
        task.cause = cause
        worker.changed()
    }

    /** Tasks that run or save. */
    fun running(): List<FakeTask> =
        all.filter { it.phase == TaskStatus.Phase.RUNNING || it.phase == TaskStatus.Phase.SAVING }

    private companion object {
        /** Sums of floating-point numbers may be this much off. */
        const val ROUNDING = 1e-6

        /** How long a task on a sick machine runs. */
        const val FAILS_AFTER_MS = 300L
    }
}
