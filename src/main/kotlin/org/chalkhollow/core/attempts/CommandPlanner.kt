package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.model.Command
import org.chalkhollow.model.TaskStatus

/**
 * Decides what machines are to be commanded, by what [AttemptReconciler] knows of their attempts: starts are repeated
 * until they are seen, stops until they are obeyed. No attempt is started whose marker is not durable, and none is
 * forgotten that a late copy of its start could begin again. It keeps no state of its own. Called by [HeartbeatHandler]
 * and [WorkerCommandSender].
 */
class CommandPlanner(private val reconciler: AttemptReconciler) {
    /** The commands in the response to [machine]'s heartbeat; no starts if the heartbeat is not its newest. */
    fun inResponse(machine: Machine, startsAllowed: Boolean): List<Command> {
        val commands = ArrayList<Command>()
        for (attempt in ArrayList(machine.attempts)) { // a withdrawal removes its attempt
            if (commands.size >= MAX_COMMANDS) break
            commandFor(attempt, startsAllowed)?.let(commands::add)
        }
        for (task in machine.orphans) {
            if (commands.size >= MAX_COMMANDS) break
            commands.add(removal(task))
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

    /** Whether nobody waits for the attempt's outcome any more. */
    private fun isUnwanted(attempt: Attempt): Boolean =
        attempt.job.cancelled || attempt.job.progress.isDone(attempt.index)

    private fun firstStart(attempt: Attempt, startsAllowed: Boolean): Command? {
        val machine = attempt.machine
        if (isUnwanted(attempt) || machine.availability.draining || machine.availability.hasSpotNotice) {
            reconciler.withdraw(attempt)
            return null
        }
        if (!startsAllowed || attempt.job.cancelling) return null
        attempt.startSent()
        return start(attempt)
    }

    /**
     * A direct start whose outcome is unknown is repeated by the responses to heartbeats; an earlier leader's is not
     * ours.
     */
    private fun repeatedStart(attempt: Attempt, startsAllowed: Boolean): Command? {
        if (!startsAllowed || isUnwanted(attempt)) return null
        return if (attempt.directStartOutcomeUnknown && !attempt.inherited) start(attempt) else null
    }

    private fun stopIfDue(attempt: Attempt): Command? =
        when {
            isUnwanted(attempt) -> stop(attempt, 0.0)
            attempt.stopRequested -> stop(attempt)
            else -> null
        }

    fun start(attempt: Attempt) = Command.Start(attempt.job.spec.id, attempt.index, attempt.number)

    /** Stops a task so that it saves its progress if it can; nobody has any use for that of a cancelled one. */
    fun stop(attempt: Attempt) =
        stop(attempt, if (attempt.job.cancelled) 0.0 else attempt.job.spec.saveS + SAVE_MARGIN_S)

    private fun stop(attempt: Attempt, graceS: Double) =
        Command.Stop(attempt.job.spec.id, attempt.index, attempt.number, graceS)

    /**
     * A worker that has forgotten an attempt begins it again when a copy of its start comes late, and what was stopped
     * or cancelled would run unknown to us. So an attempt that this leader started directly is left to the next leader
     * to forget, whose fencing token voids all copies, unless it was completed: then it ends as soon as it begins. An
     * earlier version took the first answer for the last.
     */
    private fun forget(attempt: Attempt): Command? {
        if (!attempt.outcomeRecorded || attempt.directStartOutcomeUnknown) return null
        val cannotRunAgain = !attempt.startedDirectly || attempt.completed && !attempt.job.cancelled
        return if (cannotRunAgain) Command.Forget(attempt.job.spec.id, attempt.index, attempt.number) else null
    }

    /** Ends what no attempt of ours explains. */
    private fun removal(task: TaskStatus): Command =
        if (task.phase == TaskStatus.Phase.EXITED) {
            Command.Forget(task.jobId, task.index, task.attempt)
        } else {
            Command.Stop(task.jobId, task.index, task.attempt, 0.0)
        }

    private companion object {
        /** More do not fit well into one response; the rest comes with the next. */
        const val MAX_COMMANDS = 400

        /** Saving may take longer than its owner's estimate. */
        const val SAVE_MARGIN_S = 1.0
    }
}
