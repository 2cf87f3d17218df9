package org.chalkhollow.runtime

import kotlinx.coroutines.DisposableHandle
import org.chalkhollow.core.Controller
import org.chalkhollow.core.common.CloudReply
import org.chalkhollow.core.common.CommandReply
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.Input
import org.chalkhollow.core.common.StateReply
import org.chalkhollow.peer.PeerConnections
import org.slf4j.Logger

/** The clients of the state service, the cloud and the workers. */
internal class OutboundClients(val state: StateServiceClient, val cloud: CloudClient, val workers: WorkerClient)

/** Passes inputs to [controller], one at a time on the thread of [loop], and executes the effects of each. */
internal class EffectExecutor(
    private val loop: EventLoop,
    private val controller: Controller,
    private val metrics: Metrics,
    private val log: Logger,
    private val pendingRequests: PendingRequests,
    private val clients: OutboundClients,
    private val peers: PeerConnections,
) {
    private var tickTimer: DisposableHandle? = null

    /** Whether the effects of a step are being executed. No other step may start meanwhile. */
    private var isExecuting = false

    /** Lets [controller] handle [input] and executes the effects. Ends the process if the controller throws. */
    @Suppress("TooGenericExceptionCaught") // any exception may leave the controller's state inconsistent
    fun step(input: Input) {
        val decidedAt = SystemClocks.now()
        val effects =
            try {
                controller.step(decidedAt, input)
            } catch (e: Exception) {
                // The controller's state may be inconsistent, so continuing is unsafe. Exiting is safe: another
                // controller takes over and fences this one off.
                log.error("internal error while the controller handled an input; the process exits", e)
                Runtime.getRuntime().halt(EXIT_INTERNAL_ERROR)
                return
            }
        isExecuting = true
        for (effect in effects) {
            // The process can be paused between step() and here, and another controller may lead when it resumes.
            if (SystemClocks.monotonicMs() - decidedAt.steady < MAX_EFFECT_DELAY_MS) {
                execute(effect)
            } else {
                controller.recheck(SystemClocks.now(), effect)?.let(::execute)
            }
        }
        isExecuting = false
    }

    private fun execute(effect: Effect) {
        when (effect) {
            is Effect.Response ->
                pendingRequests.respond(effect.call, HttpResponse(effect.status, effect.body, effect.retryAfterS))
            is Effect.State ->
                clients.state.run(effect.op, timed<StateReply>("state") { Input.State(effect.ticket, it) })
            is Effect.Cloud ->
                clients.cloud.run(effect.op, timed<CloudReply>("cloud") { Input.Cloud(effect.ticket, it) })
            is Effect.WorkerCommand ->
                clients.workers.run(effect, timed<CommandReply>("direct") { Input.WorkerReply(effect.ticket, it) })
            is Effect.Timing -> metrics.recordDuration(effect.kind, effect.ms * MICROS_PER_MS)
            is Effect.Send -> peers.send(effect.peer, effect.message)
            is Effect.Timer -> setTimer(effect)
            is Effect.LogEvent -> writeLog(effect)
        }
    }

    private fun setTimer(effect: Effect.Timer) {
        tickTimer?.dispose()
        tickTimer = loop.runAfter(effect.atMs - SystemClocks.monotonicMs()) { step(Input.Tick) }
    }

    /**
     * Returns a callback that records the time from now to the reply and passes the reply to the controller as [input].
     */
    private fun <R> timed(kind: String, input: (R) -> Input): (R) -> Unit {
        val sentAtNs = System.nanoTime()
        return { reply ->
            metrics.recordDuration(kind, SystemClocks.microsSince(sentAtNs))
            // A call that fails before it is sent gets its reply while the effects of a step are still being executed.
            if (isExecuting) loop.submit(TaskPriority.CONTROL) { step(input(reply)) } else step(input(reply))
        }
    }

    private fun writeLog(event: Effect.LogEvent) =
        when (event.level) {
            Effect.Level.ERROR -> log.error(event.text)
            Effect.Level.WARN -> log.warn(event.text)
            Effect.Level.INFO -> log.info(event.text)
            Effect.Level.DEBUG -> log.debug(event.text)
        }

    private companion object {
        /** The leadership is checked again for an effect that is executed this long after it was decided. */
        const val MAX_EFFECT_DELAY_MS = 100L
        const val EXIT_INTERNAL_ERROR = 70
        const val MICROS_PER_MS = 1000L
    }
}
