package org.chalkhollow.core.requests

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap
import it.unimi.dsi.fastutil.longs.Long2ObjectLinkedOpenHashMap
import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.cluster.JobEntry
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.DroppedInput
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.HttpStatus
import org.chalkhollow.core.common.UserRequest
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.jobs.JobCancellation
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.core.jobs.Quotas
import org.chalkhollow.core.leadership.Leadership
import org.chalkhollow.core.storage.StateWriter
import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.JobState
import org.chalkhollow.model.Resources
import org.chalkhollow.model.Shape
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.wire.UserCodec

/**
 * Users' requests: answered from durable knowledge by the leader, passed on to it by everyone else. A request that
 * cannot be taken now is answered at once with 503 and when to come back.
 */
class RequestHandler(
    private val context: CoreContext,
    private val leadership: Leadership,
    private val log: StateWriter,
    private val jobs: JobTable,
    private val cancellation: JobCancellation,
    private val quotas: Quotas,
    private val fleet: Fleet,
    private val names: Interners,
) {
    private class Passed(val call: Int, val deadline: Long)

    private class Origin(val peer: Int, val seq: Long)

    private class Waiting(val calls: ArrayList<Int>, var since: Long)

    private val passed = Long2ObjectLinkedOpenHashMap<Passed>()

    // Not from 1: an answer meant for an earlier life of this controller must not be taken for one of ours.
    private val firstSeq = context.random.nextLong(FIRST_SEQ_BOUND)
    private var nextSeq = firstSeq
    private val origins = Int2ObjectOpenHashMap<Origin>()
    private var nextRemoteCall = -1

    /** Calls that wait for a write, by job id. */
    private val accepting = HashMap<String, Waiting>()
    private val cancelling = HashMap<String, Waiting>()
    private val finishing = HashMap<String, Waiting>()

    /** Set by the controller once everything is rebuilt. */
    var open = false

    fun ask(call: Int, ask: UserRequest) {
        if (leadership.entitled()) {
            if (open) serve(call, ask) else later(call)
            return
        }
        val leader = leadership.reachableLeader()
        if (leader < 0 || !leadership.leaderIsReady() || passed.size >= MAX_PASSED) return later(call)
        val seq = nextSeq++
        passed.put(seq, Passed(call, context.steady + PASS_MS))
        val message =
            when (ask) {
                is UserRequest.Submit -> PeerMessage.ForwardedRequest(seq, SUBMIT, ask.jobId, ask.raw)
                is UserRequest.Invalid -> PeerMessage.ForwardedRequest(seq, SUBMIT, ask.jobId, ask.raw)
                is UserRequest.Query -> PeerMessage.ForwardedRequest(seq, POLL, ask.jobId, NOTHING)
                is UserRequest.Cancel -> PeerMessage.ForwardedRequest(seq, WITHDRAW, ask.jobId, NOTHING)
            }
        context.emit(Effect.Send(leader, message))
    }

    fun onForward(from: Int, m: PeerMessage.ForwardedRequest) {
        val call = nextRemoteCall--
        if (nextRemoteCall < LAST_REMOTE_CALL) nextRemoteCall = -1
        origins.put(call, Origin(from, m.seq))
        val ask =
            when (m.kind) {
                SUBMIT -> UserRequest.ofSubmission(m.body) ?: return reply(call, HttpStatus.BAD_REQUEST)
                POLL -> UserRequest.Query(m.jobId)
                WITHDRAW -> UserRequest.Cancel(m.jobId)
                else -> return later(call) // from a newer version: it must not be taken for anything else
            }
        if (leadership.entitled() && open) serve(call, ask) else later(call)
    }

    fun onForwarded(m: PeerMessage.ForwardedResponse) {
        val p = passed.remove(m.seq)
        if (p == null) {
            val asked = m.seq in firstSeq until nextSeq
            context.dropped.count(if (asked) DroppedInput.MESSAGE_LATE else DroppedInput.MESSAGE_OTHER_INCARNATION)
            return
        }
        context.emit(Effect.Response(p.call, m.status, m.body.takeIf { it.isNotEmpty() }, m.retryAfterS))
    }

    private fun serve(call: Int, ask: UserRequest) =
        when (ask) {
            is UserRequest.Submit -> submit(call, ask.spec)
            is UserRequest.Invalid -> unreadable(call, ask.jobId)
            is UserRequest.Query -> poll(call, ask.jobId)
            is UserRequest.Cancel -> withdraw(call, ask.jobId)
        }

    private fun submit(call: Int, spec: JobSpec) {
        val known = jobs.find(spec.id)
        if (known?.state != null) return reply(call, HttpStatus.OK, UserCodec.status(spec.id, status(known)))
        val waiting = accepting[spec.id]
        if (waiting != null) {
            waiting.calls.add(call)
            return
        }
        if (!fleet.catalogKnown) return later(call)
        if (!canEverRun(spec)) return reply(call, HttpStatus.UNPROCESSABLE)
        if (!jobs.recordFits(spec)) return reply(call, HttpStatus.BAD_REQUEST)
        if (log.stalled() || accepting.size >= MAX_ACCEPTING) return later(call)
        accepting[spec.id] = Waiting(arrayListOf(call), context.steady)
        jobs.accept(spec, onRefused = { accepting.remove(spec.id)?.calls?.forEach(::later) }) {
            accepting.remove(spec.id)?.calls?.forEachIndexed { i, c ->
                reply(c, if (i == 0) HttpStatus.CREATED else HttpStatus.OK, UserCodec.status(spec.id, "queued"))
            }
        }
    }

    /**
     * A user hears 400 only for a job that was not accepted: a repetition is answered with the job's state, however it
     * reads.
     */
    private fun unreadable(call: Int, id: String) {
        val known = jobs.find(id)
        when {
            known?.state != null -> reply(call, HttpStatus.OK, UserCodec.status(id, status(known)))
            id in accepting -> later(call)
            else -> reply(call, HttpStatus.BAD_REQUEST)
        }
    }

    /** Whether the team exists and its limit and some allowed machine type admit at least one task. */
    private fun canEverRun(spec: JobSpec): Boolean {
        val team = names.teams.find(spec.team)
        if (team < 0) return false
        val atOnce = if (spec.shape == Shape.ARRAY) 1 else spec.tasks
        if (!quotas.couldEverFit(
                team,
                Resources(spec.taskResources.cpus * atOnce, spec.taskResources.gpus * atOnce, 0.0),
            )
        ) {
            return false
        }
        return fleet.types.filterNotNull().any { type ->
            (spec.types == null || type.name in spec.types) && (spec.zone == null || spec.zone in type.zones) &&
                spec.taskResources.fitsIn(type.room)
        }
    }

    private fun poll(call: Int, id: String) {
        val entry = jobs.find(id)
        if (entry?.state == null) {
            // Not written as far as we know; while its write is under way that is not certain.
            return if (id in accepting) later(call) else reply(call, HttpStatus.NOT_FOUND)
        }
        val job = entry.open
        val done = if (entry.state == JobState.DONE) entry.tasks else job?.progress?.doneCount ?: 0
        reply(
            call,
            HttpStatus.OK,
            UserCodec.progress(
                id,
                status(entry),
                minOf(done, entry.tasks),
                job?.tasks?.running ?: 0,
            ),
        )
    }

    private fun status(entry: JobEntry): String =
        when (entry.state) {
            JobState.DONE -> "done"
            JobState.CANCELLED -> "aborted"
            else -> if ((entry.open?.tasks?.running ?: 0) > 0) "running" else "queued"
        }

    private fun withdraw(call: Int, id: String) {
        val entry = jobs.find(id)
        val job = entry?.open
        when {
            entry?.state == null -> if (id in accepting) later(call) else reply(call, HttpStatus.NOT_FOUND)
            entry.state == JobState.DONE -> reply(call, HttpStatus.OK, UserCodec.status(id, "done"))
            entry.state == JobState.CANCELLED -> reply(call, HttpStatus.OK, UserCodec.status(id, "aborted"))
            log.stalled() -> later(call)
            job == null -> later(call)
            job.cancelling -> cancelling.getOrPut(id) { Waiting(ArrayList(), context.steady) }.calls.add(call)
            job.complete -> finishing.getOrPut(id) { Waiting(ArrayList(), context.steady) }.calls.add(call)
            else -> {
                cancelling[id] = Waiting(arrayListOf(call), context.steady)
                cancellation.cancel(job) {
                    cancelling.remove(id)?.calls?.forEach { reply(it, HttpStatus.OK, UserCodec.status(id, "aborted")) }
                }
            }
        }
    }

    /** A job is durably done. */
    fun finished(job: OpenJob) {
        finishing
            .remove(
                job.spec.id,
            )?.calls
            ?.forEach { reply(it, HttpStatus.OK, UserCodec.status(job.spec.id, "done")) }
    }

    fun tick() {
        val t = context.steady
        while (!passed.isEmpty()) {
            val seq = passed.firstLongKey()
            val p = passed.get(seq)
            if (p.deadline > t) break
            passed.remove(seq)
            later(p.call)
        }
        for (map in listOf(accepting, cancelling, finishing)) {
            if (log.stalled()) {
                turnAway(map)
            } else if (map.isNotEmpty()) {
                turnAway(
                    map.filterValues {
                        t - it.since >
                            WAIT_MS
                    },
                )
            }
        }
    }

    /**
     * The state service does not answer, or refuses the write: callers hear so now; what is under way may still come to
     * be.
     */
    private fun turnAway(map: Map<String, Waiting>) {
        for (waiting in map.values) {
            waiting.calls.forEach(::later)
            waiting.calls.clear()
            waiting.since = context.steady
        }
    }

    /** No longer leading: whatever was under way is answered by the next leader. */
    fun close() {
        open = false
        for (map in listOf(accepting, cancelling, finishing)) {
            turnAway(map)
            map.clear()
        }
    }

    private fun later(call: Int) = reply(call, HttpStatus.UNAVAILABLE, null, 1)

    private fun reply(call: Int, status: Int, body: Map<String, Any?>? = null, retryAfterS: Int = 0) {
        if (call >= 0) return context.respond(call, status, body, retryAfterS)
        val origin = origins.remove(call) ?: return
        val bytes = body?.let(org.chalkhollow.wire.Pack::encode) ?: NOTHING
        context.emit(Effect.Send(origin.peer, PeerMessage.ForwardedResponse(origin.seq, status, bytes, retryAfterS)))
    }

    private companion object {
        const val SUBMIT = 1
        const val POLL = 2
        const val WITHDRAW = 3
        const val PASS_MS = 1500L

        /** Users wait 5 s for an answer. */
        const val WAIT_MS = 4000L
        const val MAX_PASSED = 500

        /** Numbers of requests that are passed on begin at random: an answer to an earlier life must not count. */
        const val FIRST_SEQ_BOUND = 1L shl 61
        const val LAST_REMOTE_CALL = -1_000_000_000
        const val MAX_ACCEPTING = 1000
        val NOTHING = ByteArray(0)
    }
}
