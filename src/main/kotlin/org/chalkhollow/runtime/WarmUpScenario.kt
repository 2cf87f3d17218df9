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
 * Plays a small deployment to a controller of its own, in memory: election, reports in their wire form, a job from its
 * submission to its end. Nothing of it leaves the process. It serves twice. The build's class data archive is made of
 * it; and a follower that has nothing else to do goes through it in small steps, because a take-over is no time to run
 * code for the first time: every worker reports at once then, and unpractised code took over a second of processor time
 * for that.
 */
internal class WarmUpScenario(settings: PlatformSettings) {
    private val settings = settings.copy(peers = emptyList())
    private val heads = HeadReader.ofRequests()
    private val heartbeats = HashMap<Int, HeartbeatReader>()
    private val inbox = ArrayDeque<Input>()
    private var controller = Controller(this.settings, OperatorSettings(), 1, Now(0, 0))
    private var revision = 1L
    private var time = 0L
    private var steps = 0

    /** One step: a tick, a few reports and, now and then, a user. */
    fun step() {
        time += 100
        val round = steps++
        val team = settings.teams.firstOrNull()?.name ?: return
        if (round % JOB_EVERY == JOB_AT) {
            val raw = Pack.encode(WarmUpMessages.job(name(round), team))
            inbox.add(Input.User(USER, UserRequest.Submit(UserCodec.job(raw), raw)))
        }
        if (round % JOB_EVERY == JOB_AT + 30) inbox.add(Input.User(USER, UserRequest.Query(name(round - 30))))
        if (round % JOB_EVERY == JOB_AT + 35) inbox.add(Input.User(USER, UserRequest.Cancel(name(round - 35))))
        inbox.add(Input.Tick)
        repeat(REPORTS) { i -> heartbeat((round * REPORTS + i) % MACHINES, round) }
        while (true) carryOut(controller.step(Now(time, time), inbox.removeFirstOrNull() ?: break))
    }

    private fun heartbeat(machine: Int, round: Int) {
        val tasks = List(2) { WarmUpMessages.task("j-900000/$it", round / REPORTS_EACH) }
        val sent = Pack.encode(WarmUpMessages.heartbeat(machine, round + 1, tasks))
        val request = HttpWriter.request("POST", "warm-up", "/agent/beat", sent)
        val messages = MessageAssembler(heads, sent.size)
        messages.add(request, request.size)
        val body = messages.next()?.body ?: return
        val reader = heartbeats.getOrPut(machine) { HeartbeatReader() }
        inbox.add(Input.Heartbeat(WORKER, reader.read(body)))
    }

    private fun carryOut(effects: List<Effect>) {
        for (e in effects) {
            when (e) {
                is Effect.State -> inbox.add(Input.State(e.ticket, stateReply(e.op)))
                is Effect.Cloud -> inbox.add(Input.Cloud(e.ticket, cloudReply(e.op)))
                is Effect.WorkerCommand -> {
                    Pack.encode(WorkerCodec.direct(e.fencingToken, e.epoch, e.commands))
                    inbox.add(Input.WorkerReply(e.ticket, CommandReply.NotSent))
                }
                is Effect.Response -> HttpWriter.response(HttpReply(e.status, e.body, e.retryAfterS), closes = false)
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
            CloudOp.Catalog ->
                CloudReply.Catalog(
                    listOf(
                        MachineType(
                            WarmUpMessages.TYPE,
                            Resources(8.0, 0.0, 64.0),
                            1.0,
                            10.0,
                            1.0,
                            1.0,
                            10.0,
                            listOf("z"),
                        ),
                    ),
                )
            is CloudOp.Machines -> CloudReply.Machines(ListedPage(emptyList(), false))
            is CloudOp.Rent -> CloudReply.NoCapacity
            is CloudOp.Delete -> CloudReply.Deleted
        }

    private fun name(round: Int) = "j-" + round.toString().padStart(6, '0')

    private companion object {
        const val USER = 1
        const val WORKER = 2
        const val REPORTS = 3
        const val MACHINES = 12
        const val JOB_EVERY = 50
        const val JOB_AT = 10

        /** A machine reports an attempt so many times, then the next. */
        const val REPORTS_EACH = 8
    }
}
