package org.chalkhollow.simulation

import org.chalkhollow.core.Controller
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.Input
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.common.UserRequest
import org.chalkhollow.core.operations.JobView
import org.chalkhollow.core.operations.StatusView
import org.chalkhollow.peer.Frames
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.PlatformSettings
import org.chalkhollow.wire.HeartbeatReader

/** One controller process: the real state machine, with a clock of its own, that can be killed and started again. */
class SimulatedController(
    private val simulation: Simulation,
    val label: String,
    private var settings: PlatformSettings,
    private val options: OperatorSettings,
) {
    private val clock = simulation.clock
    private val clockRate = 1.0 + clock.random.nextDouble() * 0.0005
    private val monotonicOffsetMs = clock.between(0, 1_000_000)
    private val wallClockSkewMs = clock.between(-25, 25)
    private var controller: Controller? = null

    /** Counts the processes of this controller, so that answers to an earlier one are dropped. */
    private var process = 0
    private val calls = HashMap<Int, (Effect.Response) -> Unit>()
    private var nextCall = 0
    private var heartbeats = HashMap<String, HeartbeatReader>()
    private var timers = 0

    val alive: Boolean get() = controller != null
    val leads: Boolean get() = controller?.isLeader(now()) == true

    /** What this process has dropped since it began. */
    val dropped: Map<DroppedInput, Long> get() = checkNotNull(controller) { "$label does not run" }.gauges.dropped

    fun status(): StatusView? = controller?.status(now())

    fun jobStatus(id: String): JobView? = controller?.jobStatus(now(), id)

    private fun now() =
        Now(
            monotonicOffsetMs + (clock.timeMs * clockRate).toLong(),
            1_700_000_000_000 + clock.timeMs + wallClockSkewMs,
        )

    /** The version that this process runs, as it tells the others. */
    var version = 0
        private set

    /** What is started from now on is the new version, under [settings]. */
    fun upgrade(settings: PlatformSettings) {
        this.settings = settings
        version = PeerMessage.VERSION
    }

    /** Hears who calls, as with every new connection. */
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

    fun receiveFrame(from: Int, frame: ByteArray) {
        val message = checkNotNull(Frames.decode(frame)) { "a frame that cannot be read" }
        feed(Input.Peer(from, message))
    }

    /** A worker's heartbeat in its wire form. */
    fun receiveHeartbeat(worker: String, body: ByteArray, respond: (Effect.Response) -> Unit): Boolean {
        if (controller?.isLeader(now()) == false) return call(respond) { Input.UnreadHeartbeat(it) }
        val heartbeat = heartbeats.getOrPut(worker) { HeartbeatReader() }.read(body)
        return call(respond) { Input.Heartbeat(it, heartbeat) }
    }

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

    /** Feeds [input], the answer to an effect of the process [processOfEffect], unless another process runs by now. */
    private fun feedReply(processOfEffect: Int, input: Input) {
        if (process == processOfEffect) feed(input)
    }

    private fun send(effect: Effect.Send) {
        val receiver = simulation.peerOf(label, effect.peer)
        val frame = Frames.encode(effect.message)
        simulation.onFrame(frame)
        simulation.network.send(label, receiver.label) {
            receiver.receiveFrame(simulation.indexAt(receiver.label, label), frame)
        }
    }

    private fun setTimer(effect: Effect.Timer, processOfEffect: Int) {
        val timer = ++timers
        clock.after(effect.atMs - now().steady + clock.between(0, 3)) {
            if (timer == timers) feedReply(processOfEffect, Input.Tick)
        }
    }
}
