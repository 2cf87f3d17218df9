package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.model.Command
import org.chalkhollow.model.JobState
import org.chalkhollow.model.TaskStatus

/**
 * Decides which commands machines get, by the state of their attempts in [AttemptReconciler]. Starts are repeated until
 * the machine lists the attempt, stops until the attempt has exited. An attempt is started only if its marker is
 * durable, and is not forgotten while a delayed copy of its start could start it again. Stateless. Called by
 * [HeartbeatHandler] and [WorkerCommandSender].
 */
class CommandPlanner(private val reconciler: AttemptReconciler) {
    /**
     * Returns the commands for the response to [machine]'s heartbeat; without starts unless it is the newest heartbeat.
     */
    fun commandsForResponse(machine: Machine, startsAllowed: Boolean): List<Command> {
        val commands = ArrayList<Command>()
        for (attempt in ArrayList(machine.attempts)) { // copied, since firstStart may remove the attempt
            if (commands.size >= MAX_COMMANDS) break
            commandFor(attempt, startsAllowed)?.let(commands::add)
        }
        for (task in machine.orphans) {
            if (commands.size >= MAX_COMMANDS) break
            commands.add(removeOrphan(task))
        }
        machine.orphans = emptyList()
        return commands
    }

    private fun commandFor(attempt: Attempt, startsAllowed: Boolean): Command? =
        when (attempt.phase) {
            Attempt.Phase.MARKER_PENDING -> null
            Attempt.Phase.MARKER_PERSISTED -> firstStart(attempt, startsAllowed)
            Attempt.Phase.START_SENT -> repeatedStart(attempt, startsAllowed)
            Attempt.Phase.FETCHING, Attempt.Phase.RUNNING, Attempt.Phase.SAVING -> stopIfDue(attempt)
            Attempt.Phase.EXITED -> forget(attempt)
        }

    /** Whether the attempt's outcome is no longer needed: its job is cancelled or its task is done. */
    private fun isNoLongerNeeded(attempt: Attempt): Boolean =
        attempt.job.cancelled || attempt.job.progress.isDone(attempt.index)

    private fun firstStart(attempt: Attempt, startsAllowed: Boolean): Command? {
        val machine = attempt.machine
        if (isNoLongerNeeded(attempt) || machine.availability.draining || machine.availability.hasSpotNotice) {
            reconciler.withdraw(attempt)
            return null
        }
        if (!startsAllowed || attempt.job.cancelling) return null
        attempt.startSent()
        return start(attempt)
    }

    /** Repeats this leader's direct start if its outcome is unknown; starts of earlier leaders are not repeated. */
    private fun repeatedStart(attempt: Attempt, startsAllowed: Boolean): Command? {
        if (!startsAllowed || isNoLongerNeeded(attempt)) return null
        return if (attempt.directStartOutcomeUnknown && !attempt.inherited) start(attempt) else null
    }

    private fun stopIfDue(attempt: Attempt): Command? =
        when {
            isNoLongerNeeded(attempt) -> stop(attempt, 0.0)
            attempt.stopRequested -> stop(attempt)
            else -> null
        }

    fun start(attempt: Attempt) = Command.Start(attempt.job.spec.id, attempt.index, attempt.number)

    /** Stops a task with a grace period to save its progress; a cancelled task's progress is not needed. */
    fun stop(attempt: Attempt) =
        stop(attempt, if (attempt.job.cancelled) 0.0 else attempt.job.spec.saveS + SAVE_MARGIN_S)

    private fun stop(attempt: Attempt, graceS: Double) =
        Command.Stop(attempt.job.spec.id, attempt.index, attempt.number, graceS)

    /**
     * Returns the command to forget an attempt, or null while the worker must remember it. A worker that has forgotten
     * an attempt starts it again when a delayed copy of its start arrives, so a stopped or cancelled attempt would run
     * without this leader's knowledge. Therefore an attempt that this leader started directly is left to the next
     * leader to forget, whose fencing token invalidates all copies. A completed attempt would end as soon as it
     * started, but even such a start breaks a rule when its job was cancelled meanwhile, or when its other tasks are in
     * another zone. So it is forgotten only once its job is done, after which neither can happen.
     */
    private fun forget(attempt: Attempt): Command? {
        if (!attempt.outcomeRecorded || attempt.directStartOutcomeUnknown) return null
        val jobIsDone = attempt.job.entry.state == JobState.DONE
        val mayForget = !attempt.startedDirectly || attempt.completed && jobIsDone
        return if (mayForget) Command.Forget(attempt.job.spec.id, attempt.index, attempt.number) else null
    }

    /** Stops or forgets a task that matches no known attempt. */
    private fun removeOrphan(task: TaskStatus): Command =
        if (task.phase == TaskStatus.Phase.EXITED) {
            Command.Forget(task.jobId, task.index, task.attempt)
        } else {
            Command.Stop(task.jobId, task.index, task.attempt, 0.0)
        }

    companion object {
        /**
         * Most commands in a response or a direct command, which may have 64 KiB: with the longest ids and numbers, a
         * command takes less than 160 bytes. The remaining commands are sent with the next one.
         */
        const val MAX_COMMANDS = 400

        /** Saving may take longer than the job's `saveS` estimate. */
        private const val SAVE_MARGIN_S = 1.0
    }
}
