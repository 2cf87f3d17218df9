package org.chalkhollow.core.requests

import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.cluster.JobEntry
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.UserRequest
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.jobs.JobCancellation
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.core.jobs.Quotas
import org.chalkhollow.core.storage.StateWriter
import org.chalkhollow.model.HttpStatus
import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.JobState
import org.chalkhollow.model.Resources
import org.chalkhollow.model.Shape
import org.chalkhollow.wire.UserCodec

/**
 * Serves users' requests on the leader. Submissions and cancellations are idempotent, and a response states only what
 * is durable. Owns the callers who wait for that. Called by [RequestHandler] while the leader is entitled and has
 * loaded the stored records.
 */
internal class JobRequests(
    context: CoreContext,
    private val responder: Responder,
    private val writer: StateWriter,
    private val jobs: JobTable,
    private val cancellation: JobCancellation,
    private val quotas: Quotas,
    private val fleet: Fleet,
    private val names: Interners,
) {
    private val accepting = WaitingCallers(context, responder)
    private val cancelling = WaitingCallers(context, responder)

    /** Cancellations of jobs whose completion is being written. */
    private val completing = WaitingCallers(context, responder)
    private val allWaiting = listOf(accepting, cancelling, completing)

    fun serve(call: Int, request: UserRequest) =
        when (request) {
            is UserRequest.Submit -> submit(call, request.spec)
            is UserRequest.Invalid -> refuseInvalid(call, request.jobId)
            is UserRequest.Query -> query(call, request.jobId)
            is UserRequest.Cancel -> cancel(call, request.jobId)
        }

    private fun submit(call: Int, spec: JobSpec) {
        val known = jobs.find(spec.id)
        when {
            known?.state != null -> respondStatus(call, spec.id, status(known))
            spec.id in accepting -> accepting.add(spec.id, call)
            !fleet.isCatalogKnown -> responder.respondUnavailable(call)
            !canEverRun(spec) -> responder.respond(call, HttpStatus.UNPROCESSABLE)
            !jobs.recordFits(spec) -> responder.respond(call, HttpStatus.BAD_REQUEST)
            writer.isStalled() || accepting.size >= MAX_ACCEPTING -> responder.respondUnavailable(call)
            else -> accept(call, spec)
        }
    }

    private fun accept(call: Int, spec: JobSpec) {
        accepting.add(spec.id, call)
        val onRefused = { accepting.remove(spec.id).forEach(responder::respondUnavailable) }
        jobs.accept(spec, onRefused) {
            val body = UserCodec.status(spec.id, QUEUED)
            accepting.remove(spec.id).forEachIndexed { index, waitingCall ->
                responder.respond(waitingCall, if (index == 0) HttpStatus.CREATED else HttpStatus.OK, body)
            }
        }
    }

    /**
     * A user gets 400 only for a job that was not accepted: a repetition gets the job's status, however it reads.
     */
    private fun refuseInvalid(call: Int, jobId: String) {
        val known = jobs.find(jobId)
        when {
            known?.state != null -> respondStatus(call, jobId, status(known))
            jobId in accepting -> responder.respondUnavailable(call)
            else -> responder.respond(call, HttpStatus.BAD_REQUEST)
        }
    }

    /** Whether the team exists, and its limit and some allowed machine type admit at least one task. */
    private fun canEverRun(spec: JobSpec): Boolean {
        val team = names.teams.find(spec.team)
        if (team < 0) return false
        val tasksAtOnce = if (spec.shape == Shape.ARRAY) 1 else spec.tasks
        val needed = Resources(spec.taskResources.cpus * tasksAtOnce, spec.taskResources.gpus * tasksAtOnce, 0.0)
        if (!quotas.couldEverFit(team, needed)) return false
        return fleet.types.filterNotNull().any { type ->
            val typeAllowed = spec.types == null || type.name in spec.types
            val zoneAllowed = spec.zone == null || spec.zone in type.zones
            typeAllowed && zoneAllowed && spec.taskResources.fitsIn(type.capacity)
        }
    }

    private fun query(call: Int, jobId: String) {
        val entry = jobs.find(jobId)
        if (entry?.state == null) return respondUnknown(call, jobId)
        val job = entry.open
        val done = if (entry.state == JobState.DONE) entry.tasks else job?.progress?.doneCount ?: 0
        val progress = UserCodec.progress(jobId, status(entry), minOf(done, entry.tasks), job?.tasks?.running ?: 0)
        responder.respond(call, HttpStatus.OK, progress)
    }

    private fun cancel(call: Int, jobId: String) {
        val entry = jobs.find(jobId)
        val job = entry?.open
        when {
            entry?.state == null -> respondUnknown(call, jobId)
            entry.state == JobState.DONE -> respondStatus(call, jobId, DONE)
            entry.state == JobState.CANCELLED -> respondStatus(call, jobId, CANCELLED)
            writer.isStalled() || job == null -> responder.respondUnavailable(call)
            job.cancelling -> cancelling.add(jobId, call)
            job.complete -> completing.add(jobId, call)
            else -> startCancelling(call, job)
        }
    }

    private fun startCancelling(call: Int, job: OpenJob) {
        val jobId = job.spec.id
        cancelling.add(jobId, call)
        cancellation.cancel(job) { cancelling.remove(jobId).forEach { respondStatus(it, jobId, CANCELLED) } }
    }

    /** The completion of [job] is durable. */
    fun onJobDone(job: OpenJob) = completing.remove(job.spec.id).forEach { respondStatus(it, job.spec.id, DONE) }

    /** The job is not stored as far as we know; while its write is under way that is not certain. */
    private fun respondUnknown(call: Int, jobId: String) {
        if (jobId in accepting) return responder.respondUnavailable(call)
        responder.respond(call, HttpStatus.NOT_FOUND)
    }

    private fun respondStatus(call: Int, jobId: String, status: String) =
        responder.respond(call, HttpStatus.OK, UserCodec.status(jobId, status))

    private fun status(entry: JobEntry): String =
        when (entry.state) {
            JobState.DONE -> DONE
            JobState.CANCELLED -> CANCELLED
            else -> if ((entry.open?.tasks?.running ?: 0) > 0) RUNNING else QUEUED
        }

    /**
     * Responds to callers whose write takes too long, and to all when the state service does not take writes: they get
     * 503 now, though what is under way may still be applied.
     */
    fun expire() {
        for (waiting in allWaiting) {
            if (writer.isStalled()) waiting.respondUnavailable() else waiting.expire(TIMEOUT_MS)
        }
    }

    /** No longer leading: the next leader knows what became of the writes that are under way. */
    fun close() = allWaiting.forEach(WaitingCallers::clear)

    private companion object {
        /** Users wait 5 s for a response. */
        const val TIMEOUT_MS = 4000L
        const val MAX_ACCEPTING = 1000

        // The states of a job in the users' protocol.
        const val QUEUED = "queued"
        const val RUNNING = "running"
        const val DONE = "done"
        const val CANCELLED = "aborted"
    }
}
