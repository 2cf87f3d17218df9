package org.chalkhollow.runtime

import org.chalkhollow.core.Controller
import org.chalkhollow.core.common.CloudOp
import org.chalkhollow.core.common.CloudReply
import org.chalkhollow.core.common.CommandReply
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.Input
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.common.StateOp
import org.chalkhollow.core.common.StateReply
import org.chalkhollow.core.common.UserRequest
import org.chalkhollow.model.KeyValuePage
import org.chalkhollow.model.ListedPage
import org.chalkhollow.model.MachineType
import org.chalkhollow.model.Resources
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.PlatformSettings
import org.chalkhollow.wire.HeartbeatReader
import org.chalkhollow.wire.Pack
import org.chalkhollow.wire.ServiceCodec
import org.chalkhollow.wire.UserCodec
import org.chalkhollow.wire.WorkerCodec

/**
 * Simulates a small deployment in memory, with a separate controller: an election, encoded heartbeats, and jobs from
 * submission to end. Has no effect outside this object. Used in two places: [ArchiveTrainingRun], which builds the
 * class data sharing archive, and followers, which run it in small steps while they have nothing else to do. During a
 * failover all workers send their heartbeats at once, and code that had not run before took over a second of processor
 * time for them.
 */
internal class WarmUpSimulation(settings: PlatformSettings) {
    private val settings = settings.copy(peers = emptyList())
    private val headReader = HeadReader.ofRequests()
    private val heartbeatReaders = HashMap<Int, HeartbeatReader>()
    private val inputs = ArrayDeque<Input>()
    private var controller = Controller(this.settings, OperatorSettings(), 1, Now(0, 0))
    private var revision = 1L
    private var nowMs = 0L
    private var nextStep = 0

    /** Runs one step: a tick, a few heartbeats and, in some steps, a user's request. */
    fun step() {
        nowMs += STEP_MS
        val step = nextStep++
        val team = settings.teams.firstOrNull()?.name ?: return
        userRequest(step, team)?.let { inputs.add(Input.User(USER_CALL, it)) }
        inputs.add(Input.Tick)
        repeat(HEARTBEATS_PER_STEP) { i -> heartbeat((step * HEARTBEATS_PER_STEP + i) % MACHINE_COUNT, step) }
        while (true) execute(controller.step(Now(nowMs, nowMs), inputs.removeFirstOrNull() ?: break))
    }

    private fun userRequest(step: Int, team: String): UserRequest? =
        when (step % STEPS_PER_JOB) {
            SUBMISSION_STEP -> {
                val raw = Pack.encode(WarmUpMessages.job(jobName(step), team))
                UserRequest.Submit(UserCodec.job(raw), raw)
            }
            SUBMISSION_STEP + QUERY_DELAY_STEPS -> UserRequest.Query(jobName(step - QUERY_DELAY_STEPS))
            SUBMISSION_STEP + CANCEL_DELAY_STEPS -> UserRequest.Cancel(jobName(step - CANCEL_DELAY_STEPS))
            else -> null
        }

    private fun heartbeat(machine: Int, step: Int) {
        val tasks = List(2) { WarmUpMessages.task("j-900000/$it", step / HEARTBEATS_PER_ATTEMPT) }
        val encoded = Pack.encode(WarmUpMessages.heartbeat(machine, step + 1, tasks))
        val request = HttpWriter.request("POST", "warm-up", "/agent/beat", encoded)
        val messages = MessageAssembler(headReader, encoded.size)
        messages.add(request, request.size)
        val body = messages.next()?.body ?: return
        val reader = heartbeatReaders.getOrPut(machine) { HeartbeatReader() }
        inputs.add(Input.Heartbeat(WORKER_CALL, reader.read(body)))
    }

    private fun execute(effects: List<Effect>) {
        for (effect in effects) {
            when (effect) {
                is Effect.State -> inputs.add(Input.State(effect.ticket, stateReply(effect.op)))
                is Effect.Cloud -> inputs.add(Input.Cloud(effect.ticket, cloudReply(effect.op)))
                is Effect.WorkerCommand -> {
                    Pack.encode(WorkerCodec.direct(effect.fencingToken, effect.epoch, effect.commands))
                    inputs.add(Input.WorkerReply(effect.ticket, CommandReply.NotSent))
                }
                is Effect.Response ->
                    HttpWriter.response(
                        HttpResponse(effect.status, effect.body, effect.retryAfterS),
                        closesConnection = false,
                    )
                else -> Unit
            }
        }
    }

    private fun stateReply(op: StateOp): StateReply =
        when (op) {
            is StateOp.Read -> StateReply.Missing
            is StateOp.List -> StateReply.Page(KeyValuePage(emptyList(), false))
            is StateOp.Commit -> {
                Pack.encode(ServiceCodec.commit(op.conditions, op.changes))
                StateReply.Committed(++revision)
            }
        }

    private fun cloudReply(op: CloudOp): CloudReply =
        when (op) {
            CloudOp.Catalog -> CloudReply.Catalog(listOf(MACHINE_TYPE))
            is CloudOp.Machines -> CloudReply.Machines(ListedPage(emptyList(), false))
            is CloudOp.Rent -> CloudReply.NoCapacity
            is CloudOp.Delete -> CloudReply.Deleted
        }

    private fun jobName(step: Int) = "j-" + step.toString().padStart(ID_DIGITS, '0')

    private companion object {
        const val STEP_MS = 100

        // Call numbers of the simulated requests.
        const val USER_CALL = 1
        const val WORKER_CALL = 2
        const val HEARTBEATS_PER_STEP = 3
        const val MACHINE_COUNT = 12
        const val STEPS_PER_JOB = 50
        const val SUBMISSION_STEP = 10
        const val QUERY_DELAY_STEPS = 30
        const val CANCEL_DELAY_STEPS = 35
        const val ID_DIGITS = 6

        /** Heartbeats of a machine after which its tasks report the next attempt. */
        const val HEARTBEATS_PER_ATTEMPT = 8

        val MACHINE_TYPE =
            MachineType(
                name = WarmUpMessages.TYPE,
                capacity = Resources(cpus = 8.0, gpus = 0.0, memoryGb = 64.0),
                imageGbPerS = 1.0,
                cacheGb = 10.0,
                price = 1.0,
                spotPrice = 1.0,
                bootS = 10.0,
                zones = listOf("z"),
            )
    }
}
