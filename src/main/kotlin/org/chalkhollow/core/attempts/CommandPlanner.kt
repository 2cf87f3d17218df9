package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.model.Command
import org.chalkhollow.model.TaskStatus

/**
 * What machines are to be told, by what [AttemptReconciler] knows of their attempts: starts are repeated until they
 * are seen, stops until they are obeyed. No attempt is started whose marker is not durable, and none is forgotten that
 * a late copy of its start could begin again. Called by [HeartbeatHandler] and [WorkerCommandSender].
 */
class CommandPlanner(private val reconciler: AttemptReconciler) {
    /** What to tell [m] in the answer to its report; no starts if the report is not its newest. */
    fun answering(m: Machine, startsAllowed: Boolean): List<Command> {
        val out = ArrayList<Command>()
        for (a in ArrayList(m.attempts)) {
            if (out.size >= MAX_COMMANDS) break
            commandFor(a, startsAllowed)?.let(out::add)
        }
        for (t in m.orphans) {
            if (out.size >= MAX_COMMANDS) break
            out.add(removal(t))
        }
        m.orphans = emptyList()
        return out
    }

    private fun commandFor(a: Attempt, startsAllowed: Boolean): Command? {
        val unwanted = a.job.cancelled || a.job.progress.isDone(a.index)
        return when (a.phase) {
            Attempt.Phase.MARKER_PENDING -> null
            Attempt.Phase.MARKER_PERSISTED -> firstStart(a, unwanted, startsAllowed)
            Attempt.Phase.START_SENT -> if (startsAllowed && !unwanted) repeatedStart(a) else null
            Attempt.Phase.EXITED -> forget(a)
            else ->
                if (unwanted) {
                    stop(a, 0.0)
                } else if (a.stopRequested) {
                    stop(a)
                } else {
                    null
                }
        }
    }

    private fun firstStart(a: Attempt, unwanted: Boolean, startsAllowed: Boolean): Command? {
        if (unwanted || a.machine.draining || a.machine.noticeAt != Machine.NEVER) {
            reconciler.withdraw(a)
            return null
        }
        if (!startsAllowed || a.job.cancelling) return null
        a.startSent()
        return start(a)
    }

    /** A direct start without an answer is repeated by the answers to reports; an earlier leader's is not ours. */
    private fun repeatedStart(a: Attempt): Command? = if (a.directStartUnresolved && !a.inherited) start(a) else null

    fun start(a: Attempt) = Command.Start(a.job.spec.id, a.index, a.number)

    /** Stops a task so that it saves its progress if it can; nobody has any use for that of a cancelled one. */
    fun stop(a: Attempt) = stop(a, if (a.job.cancelled) 0.0 else a.job.spec.saveS + GRACE_S)

    private fun stop(a: Attempt, graceS: Double) = Command.Stop(a.job.spec.id, a.index, a.number, graceS)

    /**
     * A worker that has forgotten an attempt begins it again when a copy of its start comes late, and what was stopped
     * or cancelled would run unknown to us. So an attempt that this leader started directly is left to the next
     * generation to forget, whose token voids all copies, unless it was completed: then it ends as soon as it begins.
     * An earlier version took the first answer for the last.
     */
    private fun forget(a: Attempt): Command? {
        if (!a.outcomeRecorded || a.directStartUnresolved) return null
        val beginsNoMore = !a.startedDirectly || a.completed && !a.job.cancelled
        return if (beginsNoMore) Command.Forget(a.job.spec.id, a.index, a.number) else null
    }

    /** Ends what no attempt of ours explains. */
    private fun removal(t: TaskStatus): Command =
        if (t.phase == TaskStatus.Phase.EXITED) {
            Command.Forget(t.jobId, t.index, t.attempt)
        } else {
            Command.Stop(t.jobId, t.index, t.attempt, 0.0)
        }

    private companion object {
        /** More do not fit well into one answer; the rest comes with the next. */
        const val MAX_COMMANDS = 400

        /** Saving may take longer than its owner's estimate. */
        const val GRACE_S = 1.0
    }
}
