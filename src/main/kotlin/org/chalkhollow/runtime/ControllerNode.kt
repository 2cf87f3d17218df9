package org.chalkhollow.runtime

import com.google.common.util.concurrent.RateLimiter
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.chalkhollow.core.Controller
import org.chalkhollow.core.common.Input
import org.chalkhollow.peer.PeerConnections
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.PlatformSettings
import org.slf4j.LoggerFactory

/**
 * Creates the parts of one controller, connects and starts them. Makes no decisions itself. Everything runs on the
 * thread of [loop], and [scope] must run there too. [processStartNs] is when this process started, in monotonic time:
 * earlier incarnations of this controller had ended by then. On a slow machine, this object is created noticeably
 * later.
 */
class ControllerNode(
    private val scope: CoroutineScope,
    private val loop: EventLoop,
    private val settings: PlatformSettings,
    operatorSettings: OperatorSettings,
    incarnation: Long,
    processStartNs: Long,
) {
    private val log = LoggerFactory.getLogger("chalkhollow")
    private val metrics = Metrics()
    private val controller =
        Controller(
            settings,
            operatorSettings,
            incarnation,
            SystemClocks.now(),
            processStartNs / SystemClocks.NANOS_PER_MS,
        )

    /** Limits how often malformed messages are logged. The metrics count all of them. */
    @Suppress("UnstableApiUsage") // Guava's RateLimiter is marked @Beta
    private val malformedLogLimiter = RateLimiter.create(MAX_MALFORMED_LOGS_PER_S)
    private val decoder =
        ResponseDecoder { e ->
            metrics.countMalformedReply()
            if (malformedLogLimiter.tryAcquire()) log.warn("malformed reply, treated as no reply: {}", e.message)
        }
    private val reservedSockets = minOf(MAX_RESERVED_SOCKETS, settings.maxConnections / RESERVED_SOCKETS_DIVISOR)
    private val workerClients: WorkerHttpClients =
        WorkerHttpClients(loop, settings.maxConnections - reservedSockets) { server.connectionCount }
    private val peerConnections =
        PeerConnections(
            scope,
            SelectorManager(Dispatchers.IO),
            settings.peerAddress,
            settings.peers,
            PeerMessage.Hello(settings.label, incarnation, PeerMessage.VERSION),
            DroppedFrameLogger(log, metrics),
            PeerConnectionMonitor(log, metrics, settings.peers.map { it.label }),
        ) { from, message -> executor.step(Input.Peer(from, message)) }
    private val pendingRequests = PendingRequests()
    private val executor: EffectExecutor =
        EffectExecutor(loop, controller, metrics, log, pendingRequests, outboundClients(), peerConnections)
    private val router =
        RouterContext(controller, pendingRequests, metrics, log, malformedLogLimiter) { executor.step(it) }
    private val server: HttpServer =
        HttpServer(
            loop,
            settings.clientListen,
            maxOf(MIN_CLIENT_CONNECTIONS, settings.maxConnections * CLIENT_SOCKETS_PERCENT / PERCENT - reservedSockets),
            { SystemClocks.monotonicMs() },
            object : HttpServer.Events {
                override fun beforeAccept() = workerClients.freeSockets(1)

                override fun newHandler() = RequestRouter(router)

                override fun onShed(priority: TaskPriority) = metrics.countShed(priority)
            },
        )

    private fun outboundClients(): OutboundClients {
        val stateHttp =
            HttpClient(loop, settings.state, MAX_SERVICE_BODY_BYTES, MAX_IDLE_STATE_CONNECTIONS, TaskPriority.CONTROL)
        val cloudHttp =
            HttpClient(loop, settings.cloud, MAX_SERVICE_BODY_BYTES, MAX_IDLE_CLOUD_CONNECTIONS, TaskPriority.WORKER)
        return OutboundClients(
            StateServiceClient(stateHttp, settings.stateLimits.rps * STATE_RPS_FRACTION, decoder),
            CloudClient(cloudHttp, decoder),
            WorkerClient(workerClients, decoder),
        )
    }

    /** Binds the ports and starts the controller. Throws [CannotListenException] when a port cannot be bound. */
    suspend fun start() {
        val peerSocket = bindPeerPort()
        bindClientPort()
        peerConnections.run(peerSocket)
        log.info("{} listens on {}", settings.label, settings.clientListen)
        executor.step(Input.Tick)
        scope.launch(TaskPriorityElement(TaskPriority.IDLE)) { warmUpWhileIdle() }
    }

    private suspend fun bindPeerPort(): ServerSocket =
        try {
            peerConnections.bind()
        } catch (expected: Exception) {
            throw CannotListenException(settings.peerAddress, expected) // also if the host does not resolve
        }

    private fun bindClientPort() =
        try {
            server.start()
        } catch (expected: Exception) {
            throw CannotListenException(settings.clientListen, expected) // also if the host does not resolve
        }

    /**
     * Runs the [WarmUpSimulation] while this controller follows a leader and has nothing else to do, so that the code
     * of a failover has run before it is needed.
     */
    private suspend fun warmUpWhileIdle() {
        val warmUp = WarmUpSimulation(settings)
        var steps = 0
        delay(WARM_UP_DELAY_MS)
        while (steps < WARM_UP_STEP_COUNT) {
            delay(WARM_UP_STEP_INTERVAL_MS)
            if (controller.gauges.isLeading || !controller.acceptsRequests(SystemClocks.now())) continue
            warmUp.step()
            steps++
        }
    }

    private companion object {
        const val MAX_SERVICE_BODY_BYTES = 2 * 1024 * 1024
        const val MAX_IDLE_STATE_CONNECTIONS = 4
        const val MAX_IDLE_CLOUD_CONNECTIONS = 2

        /** The fraction of the state service's request limit that one controller may use. */
        const val STATE_RPS_FRACTION = 0.5

        /**
         * Sockets reserved for the services, other controllers, the listening sockets and connections that are closing.
         */
        const val MAX_RESERVED_SOCKETS = 40
        const val RESERVED_SOCKETS_DIVISOR = 4

        /** The percentage of all sockets that clients may use. The rest is for direct commands to workers. */
        const val CLIENT_SOCKETS_PERCENT = 80
        const val PERCENT = 100
        const val MIN_CLIENT_CONNECTIONS = 8
        const val MAX_MALFORMED_LOGS_PER_S = 0.2
        const val WARM_UP_DELAY_MS = 4000L
        const val WARM_UP_STEP_INTERVAL_MS = 100L
        const val WARM_UP_STEP_COUNT = 350
    }
}
