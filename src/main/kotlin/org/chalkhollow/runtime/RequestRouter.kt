package org.chalkhollow.runtime

import com.google.common.util.concurrent.RateLimiter
import org.chalkhollow.core.Controller
import org.chalkhollow.core.common.Input
import org.chalkhollow.core.common.UserRequest
import org.chalkhollow.model.HttpStatus
import org.chalkhollow.wire.HeartbeatReader
import org.chalkhollow.wire.MalformedMessageException
import org.slf4j.Logger

/** Shared by the [RequestRouter]s of all connections. */
internal class RouterContext(
    val controller: Controller,
    val pendingRequests: PendingRequests,
    val metrics: Metrics,
    val log: Logger,
    /** Limits how often malformed messages are logged. The metrics count all of them. */
    @Suppress("UnstableApiUsage") val malformedLogLimiter: RateLimiter,
    /** Passes an input to the controller and executes the effects. */
    val step: (Input) -> Unit,
) {
    val endpoints = OperatorEndpoints(controller, metrics)
}

/**
 * Routes the requests on one connection of a user, a worker or an operator: turns them into inputs of the controller or
 * responds directly.
 */
internal class RequestRouter(private val context: RouterContext) : HttpHandler {
    private val heartbeatReader = HeartbeatReader()

    override fun priorityOf(head: RequestHead): TaskPriority =
        if (head.path == HEARTBEAT_PATH) TaskPriority.WORKER else TaskPriority.USER

    override fun clientTimeoutMs(head: RequestHead): Long =
        when {
            head.path == HEARTBEAT_PATH -> HEARTBEAT_TIMEOUT_MS
            head.method == GET -> QUERY_TIMEOUT_MS
            else -> SUBMISSION_TIMEOUT_MS
        }

    override fun handle(request: HttpMessage<RequestHead>, responder: HttpResponder) {
        val arrivedAtNs = System.nanoTime()
        val path = request.head.path.substringBefore('?')
        val kind =
            when {
                path == HEARTBEAT_PATH -> "report"
                path.startsWith("/work") -> "user"
                else -> "other"
            }
        route(request, path) { response ->
            context.metrics.countResponse(response.status)
            context.metrics.recordDuration(kind, SystemClocks.microsSince(arrivedAtNs))
            responder.respond(response)
        }
    }

    private fun route(request: HttpMessage<RequestHead>, path: String, responder: HttpResponder) {
        val method = request.head.method
        val endpoints = context.endpoints
        when {
            path == HEARTBEAT_PATH ->
                requireMethod(POST, method, responder) { handleHeartbeat(request.body, responder) }
            path == "/up" -> requireMethod(GET, method, responder) { responder.respond(endpoints.up()) }
            path == "/work" -> requireMethod(POST, method, responder) { handleSubmission(request.body, responder) }
            path.startsWith(JOB_PREFIX) -> handleJobRequest(method, path.substring(JOB_PREFIX.length), responder)
            path == "/metrics" -> requireMethod(GET, method, responder) { responder.respond(endpoints.metrics()) }
            path.startsWith(OPERATIONS_PREFIX) ->
                requireMethod(GET, method, responder) {
                    responder.respond(endpoints.operations(path.substring(OPERATIONS_PREFIX.length)))
                }
            else -> responder.respond(HttpResponse(HttpStatus.NOT_FOUND, null))
        }
    }

    private inline fun requireMethod(allowed: String, method: String, responder: HttpResponder, then: () -> Unit) {
        if (method == allowed) then() else responder.respond(HttpResponse(HttpStatus.METHOD_NOT_ALLOWED, null))
    }

    /**
     * Only the leader decodes heartbeats: a follower responds with the leader's address whatever the heartbeat
     * contains.
     */
    private fun handleHeartbeat(body: ByteArray, responder: HttpResponder) {
        if (!context.controller.isLeader(SystemClocks.now())) return step(responder) { Input.UnreadHeartbeat(it) }
        val heartbeat =
            try {
                heartbeatReader.read(body)
            } catch (e: MalformedMessageException) {
                context.metrics.countMalformedHeartbeat()
                if (context.malformedLogLimiter.tryAcquire()) {
                    context.log.warn("malformed heartbeat from a worker, rejected with 400: {}", e.message)
                }
                return responder.respond(HttpResponse(HttpStatus.BAD_REQUEST, null))
            }
        step(responder) { Input.Heartbeat(it, heartbeat) }
    }

    private fun handleSubmission(body: ByteArray, responder: HttpResponder) {
        val request = UserRequest.ofSubmission(body)
        if (request == null) {
            context.log.debug("malformed submission without a readable job id, rejected with 400")
            return responder.respond(HttpResponse(HttpStatus.BAD_REQUEST, null))
        }
        if (request is UserRequest.Invalid) {
            context.log.debug("malformed submission of {}: {}", request.jobId, request.reason)
        }
        step(responder) { Input.User(it, request) }
    }

    private fun handleJobRequest(method: String, path: String, responder: HttpResponder) {
        val id = path.removeSuffix("/withdraw")
        val isCancellation = id.length != path.length
        if (id.isEmpty() || '/' in id) return responder.respond(HttpResponse(HttpStatus.NOT_FOUND, null))
        if (isCancellation) {
            requireMethod(POST, method, responder) { step(responder) { Input.User(it, UserRequest.Cancel(id)) } }
        } else {
            requireMethod(GET, method, responder) { step(responder) { Input.User(it, UserRequest.Query(id)) } }
        }
    }

    private inline fun step(responder: HttpResponder, input: (Int) -> Input) {
        if (context.pendingRequests.isFull) {
            return responder.respond(HttpResponse(HttpStatus.UNAVAILABLE, null, RETRY_AFTER_S))
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

        // How long clients wait for a response before they try another controller.
        const val HEARTBEAT_TIMEOUT_MS = 4000L
        const val QUERY_TIMEOUT_MS = 2000L
        const val SUBMISSION_TIMEOUT_MS = 5000L
    }
}
