package org.chalkhollow.runtime

import com.google.common.util.concurrent.RateLimiter
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.chalkhollow.core.Controller
import org.chalkhollow.core.common.CloudReply
import org.chalkhollow.core.common.CommandReply
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.Input
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.common.StateReply
import org.chalkhollow.peer.PeerConnections
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.settings.Address
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.PlatformSettings
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
    private val replies =
        ReplyReader { e ->
            meters.malformedReply()
            if (complaints.tryAcquire()) log.warn("a reply is malformed and counts as none: {}", e.message)
        }
    private val stateLink = HttpLink(loop, settings.state, STATE_BODY, 4, Priority.CONTROL)
    private val state = StateClient(stateLink, settings.stateLimits.rps * 0.5, replies)
    private val cloud = CloudClient(HttpLink(loop, settings.cloud, STATE_BODY, 2, Priority.WORKER), replies)
    private val spareSockets = minOf(SPARE_SOCKETS, settings.maxConnections / 4)
    private val workerLinks: WorkerLinks =
        WorkerLinks(loop, settings.maxConnections - spareSockets) { server.connected }
    private val workers = WorkerClient(workerLinks::to, replies)
    private val peerConnections =
        PeerConnections(
            scope,
            selector,
            settings.peerAddress,
            settings.peers,
            PeerMessage.Hello(settings.label, incarnation, PeerMessage.VERSION),
            FrameComplaints(log, meters),
        ) { from, message -> feed(Input.Peer(from, message)) }
    private val calls = PendingCalls()
    private val clients = ClientContext(controller, calls, meters, log, complaints, ::now, ::feed)
    private val server: HttpServer =
        HttpServer(
            loop,
            settings.clientListen,
            maxOf(MIN_CONNECTIONS, settings.maxConnections * 8 / 10 - spareSockets),
            { steady() },
            object : HttpServer.Events {
                override fun beforeAccept() = workerLinks.trim(1)

                override fun newHandler() = ClientHandler(clients)

                override fun onShed(priority: Priority) = meters.shed(priority)
            },
        )
    private var timer: DisposableHandle? = null

    /** Binds the ports and starts; throws when one of them is taken. */
    suspend fun start() {
        val peerSocket =
            try {
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
        val warmUp = WarmUpScenario(settings)
        var steps = 0
        delay(WARM_UP_AFTER_MS)
        while (steps < WARM_UP_STEPS) {
            delay(WARM_UP_EVERY_MS)
            if (controller.gauges.leading || !controller.takesRequests(now())) continue
            warmUp.step()
            steps++
        }
    }

    private fun feed(input: Input) {
        val at = now()
        val effects =
            try {
                controller.step(at, input)
            } catch (e: Exception) {
                // Its view may be half changed. Ending is safe, since another takes over and fences it; going on is
                // not.
                log.error("a fault in the controller, which ends", e)
                Runtime.getRuntime().halt(FAULT)
                return
            }
        carryingOut = true
        for (effect in effects) {
            // A process can stand still between deciding and doing, and somebody else may act by the time it goes on.
            if (steady() - at.steady < LATE_MS) {
                carryOut(effect)
            } else {
                controller.whenLate(now(), effect)?.let(::carryOut)
            }
        }
        carryingOut = false
    }

    private fun carryOut(effect: Effect) {
        when (effect) {
            is Effect.Response -> calls.answer(effect.call, HttpReply(effect.status, effect.body, effect.retryAfterS))
            is Effect.State -> {
                val done = timed<StateReply>("state") { Input.State(effect.ticket, it) }
                state.run(effect.op, done)
            }
            is Effect.Cloud -> {
                val done = timed<CloudReply>("cloud") { Input.Cloud(effect.ticket, it) }
                cloud.run(effect.op, done)
            }
            is Effect.WorkerCommand -> {
                val done = timed<CommandReply>("direct") { Input.WorkerReply(effect.ticket, it) }
                workers.run(effect, done)
            }
            is Effect.Timing -> meters.took(effect.kind, effect.ms * 1000)
            is Effect.Send -> peerConnections.send(effect.peer, effect.message)
            is Effect.Timer -> {
                timer?.dispose()
                timer = loop.after(effect.at - steady()) { feed(Input.Tick) }
            }
            is Effect.LogEvent -> note(effect)
        }
    }

    /** Feeds what is made of a reply, and notes how long it took from now on. */
    private fun <R> timed(kind: String, input: (R) -> Input): (R) -> Unit {
        val from = System.nanoTime()
        return { reply ->
            meters.took(kind, (System.nanoTime() - from) / NANOS_PER_MICRO)
            // What is refused before it is sent is told while the effects of a step are being carried out.
            if (carryingOut) loop.submit(Priority.CONTROL) { feed(input(reply)) } else feed(input(reply))
        }
    }

    private var carryingOut = false

    private fun note(n: Effect.LogEvent) =
        when (n.level) {
            Effect.Level.ERROR -> log.error(n.text)
            Effect.Level.WARN -> log.warn(n.text)
            Effect.Level.INFO -> log.info(n.text)
            Effect.Level.DEBUG -> log.debug(n.text)
        }

    private companion object {
        const val STATE_BODY = 2 * 1024 * 1024

        /** Sockets for the services, the other controllers, listening, and connections about to close. */
        const val SPARE_SOCKETS = 40
        const val MIN_CONNECTIONS = 8
        const val LATE_MS = 100L
        const val WARM_UP_AFTER_MS = 4000L
        const val WARM_UP_EVERY_MS = 100L
        const val WARM_UP_STEPS = 350
        const val FAULT = 70
        const val NANOS_PER_MICRO = 1000
        const val COMPLAINTS_PER_S = 0.2

        fun steady(): Long = System.nanoTime() / 1_000_000

        fun now(): Now = Now(steady(), System.currentTimeMillis())
    }
}
