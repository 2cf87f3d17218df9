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
 * Handles users' requests on the leader. Submissions and cancellations are idempotent. A response states only what is
 * durable; this class owns the callers that wait for a write to become durable. Called by [RequestHandler] while this
 * controller may act as the leader and has loaded the stored records.
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
    /** Submissions of jobs whose record is being written. */
    private val awaitingAcceptance = WaitingCallers(context, responder)

    /** Cancellations of jobs whose cancellation is being written. */
    private val awaitingCancellation = WaitingCallers(context, responder)

    /** Cancellations of jobs whose completion is being written. */
    private val awaitingCompletion = WaitingCallers(context, responder)
    private val allWaiting = listOf(awaitingAcceptance, awaitingCancellation, awaitingCompletion)

    fun serve(call: Int, request: UserRequest) =
        when (request) {
            is UserRequest.Submit -> submit(call, request.spec)
            is UserRequest.Invalid -> rejectInvalid(call, request.jobId)
            is UserRequest.Query -> query(call, request.jobId)
            is UserRequest.Cancel -> cancel(call, request.jobId)
        }

    private fun submit(call: Int, spec: JobSpec) {
        val known = jobs.find(spec.id)
        when {
            known?.state != null -> respondStatus(call, spec.id, status(known))
            spec.id in awaitingAcceptance -> awaitingAcceptance.add(spec.id, call)
            !fleet.isCatalogKnown -> responder.respondUnavailable(call)
            !canEverRun(spec) -> responder.respond(call, HttpStatus.UNPROCESSABLE)
            !jobs.recordFits(spec) -> responder.respond(call, HttpStatus.BAD_REQUEST)
            writer.isStalled() || awaitingAcceptance.size >= MAX_PENDING_ACCEPTANCES ->
                responder.respondUnavailable(call)
            else -> accept(call, spec)
        }
    }

    private fun accept(call: Int, spec: JobSpec) {
        awaitingAcceptance.add(spec.id, call)
        val onRejected = { awaitingAcceptance.remove(spec.id).forEach(responder::respondUnavailable) }
        jobs.accept(spec, onRejected) {
            val body = UserCodec.status(spec.id, QUEUED)
            awaitingAcceptance.remove(spec.id).forEachIndexed { index, waitingCall ->
                responder.respond(waitingCall, if (index == 0) HttpStatus.CREATED else HttpStatus.OK, body)
            }
        }
    }

    /** Responds with 400 only if the job was not accepted; a malformed repetition gets the status of the job. */
    private fun rejectInvalid(call: Int, jobId: String) {
        val known = jobs.find(jobId)
        when {
            known?.state != null -> respondStatus(call, jobId, status(known))
            jobId in awaitingAcceptance -> responder.respondUnavailable(call)
            else -> responder.respond(call, HttpStatus.BAD_REQUEST)
        }
    }

    /**
     * Whether the team exists, its limit allows one task of an array or all tasks of another job at once, and some
     * allowed machine type has the capacity for one task.
     */
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
            job.cancelling -> awaitingCancellation.add(jobId, call)
            job.complete -> awaitingCompletion.add(jobId, call)
            else -> startCancellation(call, job)
        }
    }

    private fun startCancellation(call: Int, job: OpenJob) {
        val jobId = job.spec.id
        awaitingCancellation.add(jobId, call)
        cancellation.cancel(job) { awaitingCancellation.remove(jobId).forEach { respondStatus(it, jobId, CANCELLED) } }
    }

    /** The completion of [job] is durable: responds to the cancellations that waited for it. */
    fun onJobDone(job: OpenJob) =
        awaitingCompletion.remove(job.spec.id).forEach { respondStatus(it, job.spec.id, DONE) }

    /** Responds with 404, or with 503 while the job's record is being written, since it may already be stored. */
    private fun respondUnknown(call: Int, jobId: String) {
        if (jobId in awaitingAcceptance) return responder.respondUnavailable(call)
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
     * Responds with 503 to callers whose write takes too long, and to all callers while the state service accepts no
     * writes. Pending writes may still be applied.
     */
    fun expire() {
        for (waiting in allWaiting) {
            if (writer.isStalled()) waiting.respondUnavailable() else waiting.expire(TIMEOUT_MS)
        }
    }

    /**
     * This controller no longer leads: responds with 503 to all callers. The next leader knows which of the pending
     * writes were applied.
     */
    fun close() = allWaiting.forEach(WaitingCallers::clear)

    private companion object {
        /** Less than the 5 s that users wait for a response. */
        const val TIMEOUT_MS = 4000L
        const val MAX_PENDING_ACCEPTANCES = 1000

        // The states of a job in the users' protocol.
        const val QUEUED = "queued"
        const val RUNNING = "running"
        const val DONE = "done"
        const val CANCELLED = "aborted"
    }
}
