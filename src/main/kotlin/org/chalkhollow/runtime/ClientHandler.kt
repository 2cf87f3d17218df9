package org.chalkhollow.runtime

import com.google.common.util.concurrent.RateLimiter
import kotlinx.serialization.json.Json
import org.chalkhollow.core.Controller
import org.chalkhollow.core.common.HttpStatus
import org.chalkhollow.core.common.Input
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.common.UserRequest
import org.chalkhollow.core.operations.JobView
import org.chalkhollow.core.operations.StatusView
import org.chalkhollow.wire.HeartbeatReader
import org.chalkhollow.wire.Malformed
import org.slf4j.Logger

/** What the [ClientHandler]s of all connections share. */
internal class ClientContext(
    val controller: Controller,
    val calls: PendingCalls,
    val meters: Meters,
    val log: Logger,
    /** Bounds how often malformed messages are logged; the meters count them all. */
    @Suppress("UnstableApiUsage") val complaints: RateLimiter,
    val clock: () -> Now,
    val feed: (Input) -> Unit,
)

/** Turns the requests of a user, a worker or an operator on one connection into inputs of the controller. */
internal class ClientHandler(private val context: ClientContext) : HttpHandler {
    private val heartbeats = HeartbeatReader()

    override fun priorityOf(head: RequestHead): Priority =
        if (head.path == REPORT_PATH) Priority.WORKER else Priority.USER

    override fun patienceMs(head: RequestHead): Long =
        when {
            head.path == REPORT_PATH -> WORKER_WAITS_MS
            head.method == GET -> POLL_WAITS_MS
            else -> SUBMISSION_WAITS_MS
        }

    override fun handle(request: HttpMessage<RequestHead>, responder: HttpResponder) {
        val arrivedNs = System.nanoTime()
        val path = request.head.path.substringBefore('?')
        val kind =
            when {
                path == REPORT_PATH -> "report"
                path.startsWith("/work") -> "user"
                else -> "other"
            }
        route(request, path) { reply ->
            context.meters.answered(reply.status)
            context.meters.took(kind, (System.nanoTime() - arrivedNs) / NANOS_PER_MICRO)
            responder.answer(reply)
        }
    }

    private fun route(request: HttpMessage<RequestHead>, path: String, responder: HttpResponder) {
        val method = request.head.method
        when {
            path == REPORT_PATH -> only(POST, method, responder) { heartbeat(request.body, responder) }
            path == "/up" -> only(GET, method, responder) { responder.answer(up()) }
            path == "/work" -> only(POST, method, responder) { submit(request.body, responder) }
            path.startsWith(JOB_PREFIX) -> job(method, path.substring(JOB_PREFIX.length), responder)
            path == "/metrics" -> only(GET, method, responder) { responder.answer(metrics()) }
            path.startsWith(OPERATORS_PREFIX) ->
                only(GET, method, responder) { responder.answer(operators(path.substring(OPERATORS_PREFIX.length))) }
            else -> responder.answer(HttpReply(HttpStatus.NOT_FOUND, null))
        }
    }

    private inline fun only(allowed: String, method: String, responder: HttpResponder, then: () -> Unit) {
        if (method == allowed) then() else responder.answer(HttpReply(HttpStatus.METHOD_NOT_ALLOWED, null))
    }

    private fun up() =
        HttpReply(
            if (context.controller.takesRequests(context.clock())) HttpStatus.OK else HttpStatus.UNAVAILABLE,
            null,
        )

    private fun metrics(): HttpReply {
        val text = context.meters.text(context.controller.gauges)
        return HttpReply(HttpStatus.OK, text.encodeToByteArray(), type = "text/plain; version=0.0.4")
    }

    /** What operators ask, in JSON; see `status` on the command line. */
    private fun operators(what: String): HttpReply {
        val controller = context.controller
        val text =
            when {
                what == "status" -> JSON.encodeToString(StatusView.serializer(), controller.status(context.clock()))
                what.startsWith("jobs/") ->
                    controller
                        .jobStatus(context.clock(), what.substring("jobs/".length))
                        ?.let { JSON.encodeToString(JobView.serializer(), it) }
                else -> null
            }
        return HttpReply(
            if (text ==
                null
            ) {
                HttpStatus.NOT_FOUND
            } else {
                HttpStatus.OK
            },
            text?.encodeToByteArray(),
            type = "application/json",
        )
    }

    /** A controller that does not lead names the leader whatever a report says, so it need not read it. */
    private fun heartbeat(body: ByteArray, responder: HttpResponder) {
        if (!context.controller.isLeader(context.clock())) return call(responder) { Input.UnreadHeartbeat(it) }
        val heartbeat =
            try {
                heartbeats.read(body)
            } catch (e: Malformed) {
                context.meters.malformedReport()
                if (context.complaints.tryAcquire()) context.log.warn("a worker's report is malformed: {}", e.message)
                return responder.answer(HttpReply(HttpStatus.BAD_REQUEST, null))
            }
        call(responder) { Input.Heartbeat(it, heartbeat) }
    }

    private fun submit(body: ByteArray, responder: HttpResponder) {
        val ask = UserRequest.ofSubmission(body)
        if (ask == null) {
            context.log.debug("a submission is malformed and names no job")
            return responder.answer(HttpReply(HttpStatus.BAD_REQUEST, null))
        }
        if (ask is UserRequest.Invalid) context.log.debug("a submission of {} is malformed: {}", ask.jobId, ask.why)
        call(responder) { Input.User(it, ask) }
    }

    private fun job(method: String, rest: String, responder: HttpResponder) {
        val id = rest.removeSuffix("/withdraw")
        val withdraw = id.length != rest.length
        if (id.isEmpty() || '/' in id) return responder.answer(HttpReply(HttpStatus.NOT_FOUND, null))
        if (withdraw) {
            only(POST, method, responder) { call(responder) { Input.User(it, UserRequest.Cancel(id)) } }
        } else {
            only(GET, method, responder) { call(responder) { Input.User(it, UserRequest.Query(id)) } }
        }
    }

    private inline fun call(responder: HttpResponder, input: (Int) -> Input) {
        if (context.calls.full) return responder.answer(HttpReply(HttpStatus.UNAVAILABLE, null, RETRY_AFTER_S))
        context.feed(input(context.calls.add(responder)))
    }

    private companion object {
        const val REPORT_PATH = "/agent/beat"
        const val JOB_PREFIX = "/work/"
        const val OPERATORS_PREFIX = "/ops/"
        const val GET = "GET"
        const val POST = "POST"
        const val RETRY_AFTER_S = 1
        const val NANOS_PER_MICRO = 1000

        // How long the clients of the protocol wait for an answer before they turn elsewhere.
        const val WORKER_WAITS_MS = 4000L
        const val POLL_WAITS_MS = 2000L
        const val SUBMISSION_WAITS_MS = 5000L

        /** Scripts find every field, also those with nothing in them. */
        val JSON = Json { encodeDefaults = true }
    }
}
