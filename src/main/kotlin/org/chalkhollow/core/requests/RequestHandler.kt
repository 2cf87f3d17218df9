package org.chalkhollow.core.requests

import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.ForwardedCounts
import org.chalkhollow.core.common.Readiness
import org.chalkhollow.core.common.UserRequest
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.jobs.JobCancellation
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.core.jobs.Quotas
import org.chalkhollow.core.leadership.Leadership
import org.chalkhollow.core.storage.StateWriter
import org.chalkhollow.model.HttpStatus
import org.chalkhollow.peer.PeerMessage

/**
 * Receives users' requests. The leader handles them, other controllers forward them to the leader. A request that
 * cannot be handled now gets 503 at once, with the time after which to retry. Called by the controller with each user
 * request, forwarded request and response to a forwarded request, and at every tick.
 */
internal class RequestHandler(
    context: CoreContext,
    private val leadership: Leadership,
    writer: StateWriter,
    jobs: JobTable,
    cancellation: JobCancellation,
    quotas: Quotas,
    fleet: Fleet,
    names: Interners,
) {
    private val responder = Responder(context)
    private val forwarder = RequestForwarder(context, leadership, responder)
    private val jobRequests = JobRequests(context, responder, writer, jobs, cancellation, quotas, fleet, names)

    private val leaderProbe = LeaderProbe(context, leadership)
    private val readinessCheck = ReadinessCheck(context, leadership, leaderProbe)

    /** Whether users may send requests to this controller at this moment, and why. */
    val readiness: Readiness get() = readinessCheck.current()

    /** What became of the requests that this controller forwarded. */
    val forwardedCounts: ForwardedCounts get() = forwarder.counts

    /** The outcomes of the probes that this controller sent to leaders. */
    val probeCounts: ForwardedCounts get() = leaderProbe.counts

    /** Whether the stored records are loaded; before that the leader does not know which jobs were accepted. */
    private var isOpen = false

    /** A user sent [request] to this controller. */
    fun onRequest(call: Int, request: UserRequest) {
        if (!leadership.mayActAsLeader()) return forwarder.forward(call, request)
        serve(call, request)
    }

    /** The peer [from] received a user's request and forwarded it, because it considers this controller the leader. */
    fun onForwardedRequest(from: Int, message: PeerMessage.ForwardedRequest) {
        val call = responder.registerForwarded(from, message.seq)
        val request =
            when (ForwardedKind.of(message.kind)) {
                ForwardedKind.SUBMIT ->
                    UserRequest.ofSubmission(message.body) ?: return responder.respond(call, HttpStatus.BAD_REQUEST)
                ForwardedKind.QUERY -> UserRequest.Query(message.jobId)
                ForwardedKind.CANCEL -> UserRequest.Cancel(message.jobId)
                // A kind of a newer version, which must not be handled as another kind.
                null -> return responder.respondUnavailable(call)
            }
        serve(call, request)
    }

    /** The leader responded to a request that this controller forwarded. */
    fun onForwardedResponse(message: PeerMessage.ForwardedResponse) {
        if (!leaderProbe.onResponse(message)) forwarder.onResponse(message)
    }

    private fun serve(call: Int, request: UserRequest) {
        if (leadership.mayActAsLeader() && isOpen) {
            jobRequests.serve(call, request)
        } else {
            responder.respondUnavailable(call)
        }
    }

    /** The completion of [job] is durable. */
    fun onJobDone(job: OpenJob) = jobRequests.onJobDone(job)

    /** Responds with 503 to callers that have waited for too long. */
    fun tick() {
        forwarder.expire()
        leaderProbe.tick()
        readinessCheck.tick()
        jobRequests.expire()
    }

    /** This controller leads and has loaded the stored records. */
    fun open() {
        isOpen = true
    }

    /** This controller no longer leads. */
    fun close() {
        isOpen = false
        jobRequests.close()
    }
}
