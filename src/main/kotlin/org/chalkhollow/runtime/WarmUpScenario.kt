package org.chalkhollow.runtime

import io.ktor.http.HttpMethod
import io.ktor.http.cio.parseRequest
import io.ktor.utils.io.ByteReadChannel
import kotlinx.coroutines.CoroutineScope
import org.chalkhollow.core.CloudOp
import org.chalkhollow.core.CloudReply
import org.chalkhollow.core.Controller
import org.chalkhollow.core.DirectReply
import org.chalkhollow.core.Effect
import org.chalkhollow.core.Input
import org.chalkhollow.core.Now
import org.chalkhollow.core.StateOp
import org.chalkhollow.core.StateReply
import org.chalkhollow.core.UserAsk
import org.chalkhollow.model.MachineType
import org.chalkhollow.model.Resources
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.PlatformSettings
import org.chalkhollow.wire.ListedPage
import org.chalkhollow.wire.Pack
import org.chalkhollow.wire.ReportReader
import org.chalkhollow.wire.Rows
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
internal class WarmUpScenario(private val scope: CoroutineScope, settings: PlatformSettings) {
    private val settings = settings.copy(peers = emptyList())
    private val reports = ReportReader()
    private val inbox = ArrayDeque<Input>()
    private var controller = Controller(this.settings, OperatorSettings(), 1, Now(0, 0))
    private var revision = 1L
    private var time = 0L
    private var steps = 0

    /** One step: a tick, a few reports and, now and then, a user. */
    suspend fun step() {
        time += 100
        val round = steps++
        val team = settings.teams.firstOrNull()?.name ?: return
        if (round % JOB_EVERY == JOB_AT) {
            val raw = Pack.encode(job(round, team))
            inbox.add(Input.User(USER, UserAsk.Submit(UserCodec.job(raw), raw)))
        }
        if (round % JOB_EVERY == JOB_AT + 30) inbox.add(Input.User(USER, UserAsk.Poll(name(round - 30))))
        if (round % JOB_EVERY == JOB_AT + 35) inbox.add(Input.User(USER, UserAsk.Withdraw(name(round - 35))))
        inbox.add(Input.Tick)
        repeat(REPORTS) { i -> report((round * REPORTS + i) % MACHINES, round) }
        while (true) carryOut(controller.step(Now(time, time), inbox.removeFirstOrNull() ?: break))
    }

    private suspend fun report(machine: Int, round: Int) {
        val request = Http.request(HttpMethod.Post, "warm-up", "/agent/beat", Pack.encode(reportOf(machine, round)))
        val input = ByteReadChannel(request)
        val parsed = parseRequest(input) ?: return
        val body = Http.body(scope, parsed.headers, input, request.size) ?: return
        parsed.release()
        inbox.add(Input.Report(WORKER, reports.read(body)))
    }

    private fun carryOut(effects: List<Effect>) {
        for (e in effects) {
            when (e) {
                is Effect.State -> inbox.add(Input.State(e.ticket, stateReply(e.op)))
                is Effect.Cloud -> inbox.add(Input.Cloud(e.ticket, cloudReply(e.op)))
                is Effect.Direct -> {
                    Pack.encode(WorkerCodec.direct(e.token, e.session, e.commands))
                    inbox.add(Input.Direct(e.ticket, DirectReply.NotSent))
                }
                is Effect.Answer -> HttpServer.bytes(HttpReply(e.status, e.body, e.retryAfterS), false)
                else -> Unit
            }
        }
    }

    private fun stateReply(op: StateOp): StateReply =
        when (op) {
            is StateOp.Read -> StateReply.Missing
            is StateOp.List -> StateReply.Page(Rows(emptyList(), false))
            is StateOp.Commit -> {
                Pack.encode(ServiceCodec.commit(op.conditions, op.changes))
                StateReply.Committed(++revision)
            }
        }

    private fun cloudReply(op: CloudOp): CloudReply =
        when (op) {
            CloudOp.Catalog ->
                CloudReply.CatalogIs(
                    listOf(MachineType("warm-up", Resources(8.0, 0.0, 64.0), 1.0, 10.0, 1.0, 1.0, 10.0, listOf("z"))),
                )
            is CloudOp.Machines -> CloudReply.MachinesAre(ListedPage(emptyList(), false))
            is CloudOp.Rent -> CloudReply.NoCapacity
            is CloudOp.Delete -> CloudReply.Deleted
        }

    private fun name(round: Int) = "j-" + round.toString().padStart(6, '0')

    private fun job(round: Int, team: String): Map<String, Any?> =
        mapOf(
            "nameId" to name(round),
            "workload" to "w",
            "owner" to team,
            "shape" to "batch",
            "urgency" to "high",
            "pieces" to 4,
            "vcpus" to 1.0,
            "cards" to 0.0,
            "memoryGb" to 1.0,
            "bundle" to "i",
            "pullGb" to 1.0,
            "flavours" to null,
            "site" to null,
            "together" to false,
            "spread" to false,
            "standby" to true,
            "expectedS" to 1.0,
            "snapshotS" to 0.0,
            "flushS" to 0.0,
            "dueS" to 9.0,
        )

    private fun reportOf(machine: Int, round: Int): Map<String, Any?> =
        mapOf(
            "host" to "n-$machine",
            "address" to "127.0.0.1:9",
            "flavour" to "warm-up",
            "site" to "z",
            "standby" to false,
            "tenure" to 1,
            "tally" to round + 1,
            "mandate" to 1,
            "warningS" to null,
            "pieces" to List(2) { mapOf("piece" to "j-900000/$it", "try" to round / 8, "status" to "running") },
        )

    private companion object {
        const val USER = 1
        const val WORKER = 2
        const val REPORTS = 3
        const val MACHINES = 12
        const val JOB_EVERY = 50
        const val JOB_AT = 10
    }
}
