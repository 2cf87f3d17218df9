package org.chalkhollow.simulation

import org.chalkhollow.core.Controller
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.Input
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.common.UserRequest
import org.chalkhollow.core.operations.ControllerGauges
import org.chalkhollow.core.operations.JobView
import org.chalkhollow.core.operations.StatusView
import org.chalkhollow.peer.Frames
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.PlatformSettings
import org.chalkhollow.wire.HeartbeatReader

/** A controller: the real state machine with clocks of its own. Its process can crash and be restarted. */
class SimulatedController(
    private val simulation: Simulation,
    val label: String,
    private var settings: PlatformSettings,
    private val options: OperatorSettings,
) {
    private val clock = simulation.clock

    /** The rate of the monotonic clock, up to 0.05% too fast. */
    private val clockRate = 1.0 + clock.random.nextDouble() * 0.0005
    private val monotonicOffsetMs = clock.between(0, 1_000_000)
    private val wallClockSkewMs = clock.between(-25, 25)
    private var controller: Controller? = null

    /** Changes with every start and crash, so that replies to an earlier process are dropped. */
    private var process = 0

    /** Who gets the response to a request, by the request's number. */
    private val calls = HashMap<Int, (Effect.Response) -> Unit>()
    private var nextCall = 0
    private var heartbeats = HashMap<String, HeartbeatReader>()

    /** The number of the last timer; an earlier timer has no effect. */
    private var lastTimer = 0

    val alive: Boolean get() = controller != null

    /** Whether `GET /up` responds with 200; false if the process does not run. */
    val acceptsRequests: Boolean get() = controller?.acceptsRequests(now()) == true
    val leads: Boolean get() = controller?.isLeader(now()) == true

    /** How many inputs this process has dropped since it started, by reason. */
    val dropped: Map<DroppedInput, Long> get() =
        checkNotNull(controller) {
            "controller $label is not running"
        }.gauges.dropped

    fun status(): StatusView? = controller?.status(now())

    /** The gauges of the running process. */
    val gauges: ControllerGauges get() = checkNotNull(controller) { "controller $label is not running" }.gauges

    fun jobStatus(id: String): JobView? = controller?.jobStatus(now(), id)

    private fun now() =
        Now(
            monotonicOffsetMs + (clock.timeMs * clockRate).toLong(),
            1_700_000_000_000 + clock.timeMs + wallClockSkewMs,
        )

    /** The version that this controller sends in its hello; 0 is the version in production. */
    var version = 0
        private set

    /** The next start runs the new version with [settings]. */
    fun upgrade(settings: PlatformSettings) {
        this.settings = settings
        version = PeerMessage.VERSION
    }

    /** Handles the hello of the peer [label], which has the index [from] in the settings. */
    fun receiveHello(from: Int, label: String, version: Int) {
        if (alive) {
            feed(
                Input.Peer(
                    from,
                    checkNotNull(
                        Frames.decode(Frames.encode(PeerMessage.Hello(label, 1, version))) as? PeerMessage.Hello,
                    ),
                ),
            )
        }
    }

    /** Starts a new process if none is running. */
    fun start() {
        if (alive) return
        process++
        heartbeats = HashMap<String, HeartbeatReader>()
        controller = Controller(settings, options, clock.random.nextLong(1, Long.MAX_VALUE), now())
        feed(Input.Tick)
        simulation.onStart(this)
    }

    fun crash() {
        controller = null
        process++
        calls.clear()
    }

    /** Handles [frame] of the peer that has the index [from] in the settings. */
    fun receiveFrame(from: Int, frame: ByteArray) {
        val message =
            checkNotNull(
                Frames.decode(frame),
            ) { "controller $label cannot decode a frame of ${frame.size} bytes from peer $from" }
        feed(Input.Peer(from, message))
    }

    /**
     * Handles a worker's heartbeat in its wire format. [respond] gets the response. Returns false if the controller is
     * not running.
     */
    fun receiveHeartbeat(worker: String, body: ByteArray, respond: (Effect.Response) -> Unit): Boolean {
        if (controller?.isLeader(now()) == false) return call(respond) { Input.UndecodedHeartbeat(it) }
        val heartbeat = heartbeats.getOrPut(worker) { HeartbeatReader() }.read(body)
        return call(respond) { Input.Heartbeat(it, heartbeat) }
    }

    /** Handles a user's request. [respond] gets the response. Returns false if the controller is not running. */
    fun receiveRequest(request: UserRequest, respond: (Effect.Response) -> Unit): Boolean =
        call(respond) { Input.User(it, request) }

    private fun call(respond: (Effect.Response) -> Unit, input: (Int) -> Input): Boolean {
        if (!alive) return false
        val id = nextCall++
        calls[id] = respond
        feed(input(id))
        return true
    }

    private fun feed(input: Input) {
        val effects = controller?.step(now(), input) ?: return
        val processOfEffect = process
        for (effect in effects) {
            simulation.onEffect(clock.timeMs, label, effect)
            execute(effect, processOfEffect)
        }
    }

    private fun execute(effect: Effect, processOfEffect: Int) {
        when (effect) {
            is Effect.Response -> calls.remove(effect.call)?.invoke(effect)
            is Effect.State ->
                simulation.state.call(label, effect.op) { feedReply(processOfEffect, Input.State(effect.ticket, it)) }
            is Effect.Cloud ->
                simulation.cloud.call(label, effect.op) { feedReply(processOfEffect, Input.Cloud(effect.ticket, it)) }
            is Effect.WorkerCommand ->
                simulation.sendCommand(
                    label,
                    effect,
                ) { feedReply(processOfEffect, Input.WorkerReply(effect.ticket, it)) }
            is Effect.Send -> send(effect)
            is Effect.Timer -> setTimer(effect, processOfEffect)
            is Effect.Timing -> Unit
            is Effect.LogEvent -> if (simulation.verbose) println("${clock.timeMs} $label ${effect.text}")
        }
    }

    /** Feeds [input], the reply to an effect of process [processOfEffect]; drops it if that process has ended. */
    private fun feedReply(processOfEffect: Int, input: Input) {
        if (process == processOfEffect) feed(input)
    }

    private fun send(effect: Effect.Send) {
        val receiver = simulation.peerOf(label, effect.peer)
        val frame = Frames.encode(effect.message)
        simulation.onFrame(frame)
        simulation.peerLinks.send(label, receiver.label) {
            receiver.receiveFrame(simulation.indexAt(receiver.label, label), frame)
        }
    }

    private fun setTimer(effect: Effect.Timer, processOfEffect: Int) {
        val timer = ++lastTimer
        clock.after(effect.atMs - now().steady + clock.between(0, 3)) {
            if (timer == lastTimer) feedReply(processOfEffect, Input.Tick)
        }
    }
}
