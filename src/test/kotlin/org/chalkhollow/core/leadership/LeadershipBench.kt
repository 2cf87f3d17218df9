package org.chalkhollow.core.leadership

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.Input
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.common.StateOp
import org.chalkhollow.core.common.StateReply
import org.chalkhollow.model.KeyValue
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.settings.OperatorSettings
import org.junit.jupiter.api.Assertions.assertEquals

/** The leadership of one controller by itself; tests play its peers and the state service. */
class LeadershipBench(peers: Int = 2, begunAt: Long = 0) : Leadership.Events {
    val context = CoreContext(3)
    val options = OperatorSettings(leaderLeaseMs = 2000, leaderRenewMs = 450, followerLeaseMs = 1800)

    /** The fencing token under which this controller was elected last, 0 if never. */
    var elected = 0L
    var deposed = false
    val leadership = Leadership(context, LABEL, List(peers) { "p$it" }, INCARNATION, options, 0, begunAt, this)

    /** The revision of the record for which the snapshot was read, as far as [reads] lets it be. */
    var preparedFor: Long? = null

    /** Whether a snapshot that is asked for is read at once, or never. */
    var reads = true

    override fun requestSnapshot(revision: Long) {
        if (reads) preparedFor = revision
    }

    override fun snapshotComplete(revision: Long) = preparedFor == revision

    override fun discardSnapshot() {
        preparedFor = null
    }

    override fun onElected(fencingToken: Long, revision: Long, writes: Long, snapshotRevision: Long) {
        assertEquals(preparedFor, snapshotRevision)
        elected = fencingToken
    }

    override fun onSteppedDown() {
        deposed = true
    }

    /** Runs [step] at [ms] and returns its effects. */
    fun at(ms: Long, step: Leadership.() -> Unit = { tick() }): List<Effect> {
        context.now = Now(ms, ms)
        leadership.step()
        return context.drain()
    }

    fun answer(request: Effect.State, reply: StateReply) {
        context.reply(Input.State(request.ticket, reply))
    }

    /** The leadership record as [owner] wrote it in its [incarnation], under fencing token 5. */
    fun record(owner: String, incarnation: Long, revision: Long): StateReply {
        val record = LeadershipRecord(owner, incarnation, 5, 9)
        return StateReply.Found(KeyValue(LeadershipRecord.KEY, record.value(), revision))
    }

    /** Ticks from [from] to [to] while every read finds a peer's record, unchanged at [revision]. */
    fun watch(from: Long, to: Long, revision: Long): List<Effect> {
        val all = ArrayList<Effect>()
        for (ms in from..to step TICK_MS) {
            val effects = at(ms)
            for (read in effects.reads()) answer(read, record("p0", 1, revision))
            all.addAll(effects + context.drain())
        }
        return all
    }

    /** Becomes the leader at time 0, as the first that writes the record. */
    fun lead() {
        answer(at(0).stateRequest(), StateReply.Missing)
        answer(context.drain().stateRequest(), StateReply.Committed(2))
    }

    /** Whether a vote is granted to the second peer, asked for at [ms]. */
    fun grantsVote(ms: Long, seq: Long = 1): Boolean =
        at(ms) { onPeer(1, PeerMessage.VoteRequest(6, 4, seq)) }
            .messages<PeerMessage.VoteResponse>()
            .single()
            .granted

    /** Whether a follower lease is granted to the first peer, asked for at [ms] under [fencingToken]. */
    fun grantsLease(ms: Long, fencingToken: Long, seq: Long = ms): Boolean =
        at(ms) { onPeer(0, PeerMessage.FollowerLeaseRequest(fencingToken, seq, true)) }
            .messages<PeerMessage.FollowerLeaseResponse>()
            .single()
            .granted

    companion object {
        /** The controller under test, and its incarnation. */
        const val LABEL = "m"
        const val INCARNATION = 77L
        const val TICK_MS = 100L
    }
}

/** The messages of one type to peers. */
inline fun <reified T : PeerMessage> List<Effect>.messages(): List<T> =
    filterIsInstance<Effect.Send>().map { it.message }.filterIsInstance<T>()

/** The only request to the state service. */
fun List<Effect>.stateRequest(): Effect.State = filterIsInstance<Effect.State>().single()

fun List<Effect>.reads(): List<Effect.State> = filterIsInstance<Effect.State>().filter { it.op is StateOp.Read }

fun List<Effect>.commits(): List<Effect.State> = filterIsInstance<Effect.State>().filter { it.op is StateOp.Commit }
