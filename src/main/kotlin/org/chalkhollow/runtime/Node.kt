package org.chalkhollow.runtime

import com.google.common.util.concurrent.RateLimiter
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import org.chalkhollow.core.Controller
import org.chalkhollow.core.Effect
import org.chalkhollow.core.Input
import org.chalkhollow.core.JobView
import org.chalkhollow.core.Now
import org.chalkhollow.core.StatusView
import org.chalkhollow.core.UserAsk
import org.chalkhollow.peer.PeerConnections
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.settings.Address
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.PlatformSettings
import org.chalkhollow.wire.Malformed
import org.chalkhollow.wire.ReportReader
import org.slf4j.LoggerFactory

/**
 * Runs one controller: feeds it inputs, one at a time on one thread, and carries out its effects. Decides nothing.
 * [scope] must run on [loop]. [begunAt] is when this process began, in nanoseconds by the steady clock: an earlier life
 * of this controller had ended by then, which may be a while before this is made on a slow machine.
 */
class Node(
    private val scope: CoroutineScope,
    private val loop: EventLoop,
    private val settings: PlatformSettings,
    options: OperatorSettings,
    incarnation: Long,
    begunAt: Long,
) {
    private val log = LoggerFactory.getLogger("chalkhollow")
    private val selector = SelectorManager(Dispatchers.IO)
    private val controller = Controller(settings, options, incarnation, now(), begunAt / 1_000_000)
    private val meters = Meters()

    /** Bounds how often malformed messages are logged; the meters count them all. */
    @Suppress("UnstableApiUsage")
    private val complaints = RateLimiter.create(COMPLAINTS_PER_S)
    private val replies = ReplyReader { e ->
        meters.malformedReply()
        if (complaints.tryAcquire()) log.warn("a reply is malformed and counts as none: {}", e.message)
    }
    private val stateLink = HttpLink(scope, loop, settings.state, STATE_BODY, 4, isControl = true)
    private val state = StateClient(stateLink, settings.stateLimits.rps * 0.5, replies)
    private val cloud = CloudClient(HttpLink(scope, loop, settings.cloud, STATE_BODY, 2), replies)
    private val spareSockets = minOf(SPARE_SOCKETS, settings.maxConnections / 4)
    private val workerLinks: WorkerLinks = WorkerLinks(scope, loop, settings.maxConnections - spareSockets) { server.connected }
    private val workers = WorkerClient(workerLinks::to, replies)
    private val peerConnections = PeerConnections(
        scope, selector, settings.peerAddress, settings.peers, PeerMessage.Hello(settings.label, incarnation, PeerMessage.VERSION), FrameComplaints(log, meters),
    ) { from, message -> feed(Input.Peer(from, message)) }
    private val server: HttpServer = HttpServer(
        scope, loop, settings.clientListen, maxOf(8, settings.maxConnections * 8 / 10 - spareSockets), { steady() }, { workerLinks.trim(1) }, ::priorityOf, ::handle,
    )
    private val reports = ReportReader()
    private val calls = HashMap<Int, CompletableDeferred<HttpReply>>()
    private var nextCall = 0
    private var timer: Job? = null

    /** Binds the ports and starts; throws when one of them is taken. */
    suspend fun start() {
        val peerSocket = try {
            peerConnections.bind()
        } catch (e: Exception) {
            throw java.io.IOException("cannot listen on ${settings.peerAddress}: ${e.message}")
        }
        try {
            server.start()
        } catch (e: Exception) {
            throw java.io.IOException("cannot listen on ${settings.clientListen}: ${e.message}")
        }
        peerConnections.run(peerSocket)
        log.info("{} listens on {}", settings.label, settings.clientListen)
        feed(Input.Tick)
        scope.launch(TaskPriority(Priority.IDLE)) { warmUpIdle() }
    }

    /** Goes through a take-over in memory while this controller follows a leader and has nothing else to do. */
    private suspend fun warmUpIdle() {
        val warmUp = WarmUpScenario(scope, settings)
        var steps = 0
        delay(WARM_UP_AFTER_MS)
        while (steps < WARM_UP_STEPS) {
            delay(WARM_UP_EVERY_MS)
            if (controller.view.leading || !controller.takesRequests(now())) continue
            warmUp.step()
            steps++
        }
    }

    private fun feed(input: Input) {
        val at = now()
        val effects = try {
            controller.step(at, input)
        } catch (e: Exception) {
            // Its view may be half changed. Ending is safe, since another takes over and fences it; going on is not.
            log.error("a fault in the controller, which ends", e)
            Runtime.getRuntime().halt(FAULT)
            return
        }
        for (effect in effects) {
            // A process can stand still between deciding and doing, and somebody else may act by the time it goes on.
            if (steady() - at.steady < LATE_MS) carryOut(effect) else controller.whenLate(now(), effect)?.let(::carryOut)
        }
    }

    private fun carryOut(effect: Effect) {
        when (effect) {
            is Effect.Answer -> calls.remove(effect.call)?.complete(HttpReply(effect.status, effect.body, effect.retryAfterS))
            is Effect.State -> run("state", Priority.CONTROL) { Input.State(effect.ticket, state.run(effect.op)) }
            is Effect.Cloud -> run("cloud", Priority.WORKER) { Input.Cloud(effect.ticket, cloud.run(effect.op)) }
            is Effect.Direct -> run("direct", Priority.WORKER) { Input.Direct(effect.ticket, workers.run(effect)) }
            is Effect.Sample -> meters.took(effect.kind, effect.ms * 1000)
            is Effect.Send -> peerConnections.send(effect.peer, effect.message)
            is Effect.Timer -> {
                timer?.cancel()
                timer = scope.launch {
                    delay(effect.at - steady())
                    timer = null
                    feed(Input.Tick)
                }
            }
            is Effect.Note -> note(effect)
        }
    }

    private fun run(kind: String, priority: Priority, work: suspend () -> Input) {
        scope.launch(TaskPriority(priority)) {
            val from = System.nanoTime()
            val input = work()
            meters.took(kind, (System.nanoTime() - from) / 1000)
            feed(input)
        }
    }

    private fun note(n: Effect.Note) = when (n.level) {
        Effect.Level.ERROR -> log.error(n.text)
        Effect.Level.WARN -> log.warn(n.text)
        Effect.Level.INFO -> log.info(n.text)
        Effect.Level.DEBUG -> log.debug(n.text)
    }

    /** What a connection carries, by its first request: whoever reports is a worker, and goes on to report. */
    private fun priorityOf(firstBytes: ByteArray): Priority {
        val isReport = REPORT_LINE.indices.all { it < firstBytes.size && firstBytes[it] == REPORT_LINE[it] }
        return if (isReport) Priority.WORKER else Priority.USER
    }

    private suspend fun handle(method: String, uri: String, body: ByteArray): HttpReply {
        val path = uri.substringBefore('?')
        val arrived = System.nanoTime()
        val reply = when {
            path == "/up" -> only(method, "GET") { HttpReply(if (controller.takesRequests(now())) 200 else 503, null) }
            path == "/agent/beat" -> only(method, "POST") { beat(body) }
            path == "/work" -> only(method, "POST") { submit(body) }
            path == "/metrics" -> only(method, "GET") { HttpReply(200, meters.text(controller.view).encodeToByteArray(), type = "text/plain; version=0.0.4") }
            path.startsWith("/ops/") -> only(method, "GET") { operators(path.substring("/ops/".length)) }
            path.startsWith("/work/") -> job(method, path.substring("/work/".length))
            else -> HttpReply(404, null)
        }
        meters.answered(reply.status)
        meters.took(if (path == "/agent/beat") "report" else if (path.startsWith("/work")) "user" else "other", (System.nanoTime() - arrived) / 1000)
        return reply
    }

    /** What operators ask, in JSON; see `status` on the command line. */
    private fun operators(what: String): HttpReply {
        val text = when {
            what == "status" -> JSON.encodeToString(StatusView.serializer(), controller.status(now()))
            what.startsWith("jobs/") -> controller.jobStatus(now(), what.substring("jobs/".length))?.let { JSON.encodeToString(JobView.serializer(), it) }
            else -> null
        }
        return HttpReply(if (text == null) 404 else 200, text?.encodeToByteArray(), type = "application/json")
    }

    private inline fun only(method: String, allowed: String, then: () -> HttpReply): HttpReply =
        if (method == allowed) then() else HttpReply(405, null)

    private suspend fun beat(body: ByteArray): HttpReply {
        val report = try {
            reports.read(body)
        } catch (e: Malformed) {
            meters.malformedReport()
            if (complaints.tryAcquire()) log.warn("a worker's report is malformed: {}", e.message)
            return HttpReply(400, null)
        }
        return call { Input.Report(it, report) }
    }

    private suspend fun submit(body: ByteArray): HttpReply {
        val ask = UserAsk.ofSubmission(body)
        if (ask == null) {
            log.debug("a submission is malformed and names no job")
            return HttpReply(400, null)
        }
        if (ask is UserAsk.Unreadable) log.debug("a submission of {} is malformed: {}", ask.jobId, ask.why)
        return call { Input.User(it, ask) }
    }

    private suspend fun job(method: String, rest: String): HttpReply {
        val id = rest.removeSuffix("/withdraw")
        val withdraw = id.length != rest.length
        if (id.isEmpty() || '/' in id) return HttpReply(404, null)
        return when {
            withdraw -> only(method, "POST") { call { Input.User(it, UserAsk.Withdraw(id)) } }
            else -> only(method, "GET") { call { Input.User(it, UserAsk.Poll(id)) } }
        }
    }

    private suspend fun call(input: (Int) -> Input): HttpReply {
        if (calls.size >= MAX_CALLS) return HttpReply(503, null, 1)
        val id = nextCall
        nextCall = (nextCall + 1) and Int.MAX_VALUE
        val answer = CompletableDeferred<HttpReply>()
        calls[id] = answer
        feed(input(id))
        return answer.await()
    }

    private companion object {
        const val STATE_BODY = 2 * 1024 * 1024

        /** Sockets for the services, the other controllers, listening, and connections about to close. */
        const val SPARE_SOCKETS = 40
        const val MAX_CALLS = 2000
        const val LATE_MS = 100L
        const val WARM_UP_AFTER_MS = 4000L
        const val WARM_UP_EVERY_MS = 100L
        const val WARM_UP_STEPS = 350
        const val FAULT = 70

        /** Scripts find every field, also those with nothing in them. */
        val JSON = Json { encodeDefaults = true }
        val REPORT_LINE = "POST /agent/beat".encodeToByteArray()
        const val COMPLAINTS_PER_S = 0.2
        fun steady(): Long = System.nanoTime() / 1_000_000
        fun now(): Now = Now(steady(), System.currentTimeMillis())
    }
}
