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
 * Simulates a small deployment for a controller of its own, in memory: election, heartbeats in their wire form, a job
 * from its submission to its end. Nothing of it leaves the process. It has two uses. The build's class data archive is
 * made of it; and a follower that has nothing else to do goes through it in small steps, because a failover is no time
 * to run code for the first time: every worker sends its heartbeat at once then, and code that had not run before took
 * over a second of processor time for that.
 */
internal class WarmUpSimulation(settings: PlatformSettings) {
    private val settings = settings.copy(peers = emptyList())
    private val heads = HeadReader.ofRequests()
    private val heartbeats = HashMap<Int, HeartbeatReader>()
    private val inbox = ArrayDeque<Input>()
    private var controller = Controller(this.settings, OperatorSettings(), 1, Now(0, 0))
    private var revision = 1L
    private var time = 0L
    private var steps = 0

    /** One step: a tick, a few heartbeats and, now and then, a user's request. */
    fun step() {
        time += STEP_MS
        val round = steps++
        val team = settings.teams.firstOrNull()?.name ?: return
        userRequest(round, team)?.let { inbox.add(Input.User(USER, it)) }
        inbox.add(Input.Tick)
        repeat(HEARTBEATS_PER_STEP) { i -> heartbeat((round * HEARTBEATS_PER_STEP + i) % MACHINES, round) }
        while (true) carryOut(controller.step(Now(time, time), inbox.removeFirstOrNull() ?: break))
    }

    private fun userRequest(round: Int, team: String): UserRequest? =
        when (round % JOB_EVERY) {
            JOB_AT -> {
                val raw = Pack.encode(WarmUpMessages.job(name(round), team))
                UserRequest.Submit(UserCodec.job(raw), raw)
            }
            JOB_AT + QUERY_AFTER -> UserRequest.Query(name(round - QUERY_AFTER))
            JOB_AT + CANCEL_AFTER -> UserRequest.Cancel(name(round - CANCEL_AFTER))
            else -> null
        }

    private fun heartbeat(machine: Int, round: Int) {
        val tasks = List(2) { WarmUpMessages.task("j-900000/$it", round / HEARTBEATS_PER_ATTEMPT) }
        val sent = Pack.encode(WarmUpMessages.heartbeat(machine, round + 1, tasks))
        val request = HttpWriter.request("POST", "warm-up", "/agent/beat", sent)
        val messages = MessageAssembler(heads, sent.size)
        messages.add(request, request.size)
        val body = messages.next()?.body ?: return
        val reader = heartbeats.getOrPut(machine) { HeartbeatReader() }
        inbox.add(Input.Heartbeat(WORKER, reader.read(body)))
    }

    private fun carryOut(effects: List<Effect>) {
        for (effect in effects) {
            when (effect) {
                is Effect.State -> inbox.add(Input.State(effect.ticket, stateReply(effect.op)))
                is Effect.Cloud -> inbox.add(Input.Cloud(effect.ticket, cloudReply(effect.op)))
                is Effect.WorkerCommand -> {
                    Pack.encode(WorkerCodec.direct(effect.fencingToken, effect.epoch, effect.commands))
                    inbox.add(Input.WorkerReply(effect.ticket, CommandReply.NotSent))
                }
                is Effect.Response ->
                    HttpWriter.response(
                        HttpReply(effect.status, effect.body, effect.retryAfterS),
                        closes = false,
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

    private fun name(round: Int) = "j-" + round.toString().padStart(ID_DIGITS, '0')

    private companion object {
        const val STEP_MS = 100

        // Call numbers of requests.
        const val USER = 1
        const val WORKER = 2
        const val HEARTBEATS_PER_STEP = 3
        const val MACHINES = 12
        const val JOB_EVERY = 50
        const val JOB_AT = 10
        const val QUERY_AFTER = 30
        const val CANCEL_AFTER = 35
        const val ID_DIGITS = 6

        /** After so many heartbeats of a machine its tasks are of the next attempt. */
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
