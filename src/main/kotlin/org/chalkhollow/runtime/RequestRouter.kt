package org.chalkhollow.runtime

import com.google.common.util.concurrent.RateLimiter
import org.chalkhollow.core.Controller
import org.chalkhollow.core.common.Input
import org.chalkhollow.core.common.UserRequest
import org.chalkhollow.model.HttpStatus
import org.chalkhollow.wire.HeartbeatReader
import org.chalkhollow.wire.MalformedMessageException
import org.slf4j.Logger

/** What the [RequestRouter]s of all connections share. */
internal class RouterContext(
    val controller: Controller,
    val pendingRequests: PendingRequests,
    val metrics: Metrics,
    val log: Logger,
    /** Bounds how often malformed messages are logged; the metrics count them all. */
    @Suppress("UnstableApiUsage") val malformedLogLimiter: RateLimiter,
    /** Steps the controller. */
    val step: (Input) -> Unit,
) {
    val operators = OperatorEndpoints(controller, metrics)
}

/** Turns the requests of a user, a worker or an operator on one connection into inputs of the controller. */
internal class RequestRouter(private val context: RouterContext) : HttpHandler {
    private val heartbeats = HeartbeatReader()

    override fun priorityOf(head: RequestHead): TaskPriority =
        if (head.path == HEARTBEAT_PATH) TaskPriority.WORKER else TaskPriority.USER

    override fun clientTimeoutMs(head: RequestHead): Long =
        when {
            head.path == HEARTBEAT_PATH -> WORKER_TIMEOUT_MS
            head.method == GET -> QUERY_TIMEOUT_MS
            else -> SUBMISSION_TIMEOUT_MS
        }

    override fun handle(request: HttpMessage<RequestHead>, responder: HttpResponder) {
        val arrivedNs = System.nanoTime()
        val path = request.head.path.substringBefore('?')
        val kind =
            when {
                path == HEARTBEAT_PATH -> "report"
                path.startsWith("/work") -> "user"
                else -> "other"
            }
        route(request, path) { reply ->
            context.metrics.answered(reply.status)
            context.metrics.took(kind, SteadyClock.microsSince(arrivedNs))
            responder.answer(reply)
        }
    }

    private fun route(request: HttpMessage<RequestHead>, path: String, responder: HttpResponder) {
        val method = request.head.method
        val operators = context.operators
        when {
            path == HEARTBEAT_PATH -> only(POST, method, responder) { heartbeat(request.body, responder) }
            path == "/up" -> only(GET, method, responder) { responder.answer(operators.up()) }
            path == "/work" -> only(POST, method, responder) { submit(request.body, responder) }
            path.startsWith(JOB_PREFIX) -> job(method, path.substring(JOB_PREFIX.length), responder)
            path == "/metrics" -> only(GET, method, responder) { responder.answer(operators.metrics()) }
            path.startsWith(OPERATIONS_PREFIX) ->
                only(GET, method, responder) {
                    responder.answer(operators.operations(path.substring(OPERATIONS_PREFIX.length)))
                }
            else -> responder.answer(HttpReply(HttpStatus.NOT_FOUND, null))
        }
    }

    private inline fun only(allowed: String, method: String, responder: HttpResponder, then: () -> Unit) {
        if (method == allowed) then() else responder.answer(HttpReply(HttpStatus.METHOD_NOT_ALLOWED, null))
    }

    /** A controller that does not lead names the leader whatever a heartbeat says, so it need not decode it. */
    private fun heartbeat(body: ByteArray, responder: HttpResponder) {
        if (!context.controller.isLeader(SteadyClock.now())) return step(responder) { Input.UnreadHeartbeat(it) }
        val heartbeat =
            try {
                heartbeats.read(body)
            } catch (e: MalformedMessageException) {
                context.metrics.malformedHeartbeat()
                if (context.malformedLogLimiter.tryAcquire()) {
                    context.log.warn("malformed heartbeat from a worker: {}", e.message)
                }
                return responder.answer(HttpReply(HttpStatus.BAD_REQUEST, null))
            }
        step(responder) { Input.Heartbeat(it, heartbeat) }
    }

    private fun submit(body: ByteArray, responder: HttpResponder) {
        val request = UserRequest.ofSubmission(body)
        if (request == null) {
            context.log.debug("malformed submission without a job id")
            return responder.answer(HttpReply(HttpStatus.BAD_REQUEST, null))
        }
        if (request is UserRequest.Invalid) {
            context.log.debug("malformed submission of {}: {}", request.jobId, request.reason)
        }
        step(responder) { Input.User(it, request) }
    }

    private fun job(method: String, path: String, responder: HttpResponder) {
        val id = path.removeSuffix("/withdraw")
        val cancels = id.length != path.length
        if (id.isEmpty() || '/' in id) return responder.answer(HttpReply(HttpStatus.NOT_FOUND, null))
        if (cancels) {
            only(POST, method, responder) { step(responder) { Input.User(it, UserRequest.Cancel(id)) } }
        } else {
            only(GET, method, responder) { step(responder) { Input.User(it, UserRequest.Query(id)) } }
        }
    }

    private inline fun step(responder: HttpResponder, input: (Int) -> Input) {
        if (context.pendingRequests.full) {
            return responder.answer(HttpReply(HttpStatus.UNAVAILABLE, null, RETRY_AFTER_S))
        }
        context.step(input(context.pendingRequests.add(responder)))
    }

    private companion object {
        const val HEARTBEAT_PATH = "/agent/beat"
        const val JOB_PREFIX = "/work/"
        const val OPERATIONS_PREFIX = "/ops/"
        const val GET = "GET"
        const val POST = "POST"
        const val RETRY_AFTER_S = 1

        // How long the clients of the protocol wait for an answer before they turn elsewhere.
        const val WORKER_TIMEOUT_MS = 4000L
        const val QUERY_TIMEOUT_MS = 2000L
        const val SUBMISSION_TIMEOUT_MS = 5000L
    }
}
