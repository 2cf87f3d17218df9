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

/** The leadership of one controller; tests simulate its peers and the state service. */
class LeadershipHarness(peers: Int = 2, processStartedAtMs: Long = 0) : Leadership.Events {
    val context = CoreContext(3)
    val options = OperatorSettings(leaderLeaseMs = 2000, leaderRenewMs = 450, followerLeaseMs = 1800)

    /** The fencing token with which this controller was last elected; 0 if it never was. */
    var electedFencingToken = 0L
    var steppedDown = false
    val leadership =
        Leadership(context, LABEL, List(peers) { "p$it" }, INCARNATION, options, 0, processStartedAtMs, this)

    /** The revision of the record for which the snapshot is complete; null if it is not. */
    var completeForRevision: Long? = null

    /** Whether a requested snapshot is complete at once, or never. */
    var canReadSnapshot = true

    override fun requestSnapshot(revision: Long) {
        if (canReadSnapshot) completeForRevision = revision
    }

    override fun snapshotComplete(revision: Long) = completeForRevision == revision

    override fun discardSnapshot() {
        completeForRevision = null
    }

    override fun onElected(fencingToken: Long, revision: Long, writes: Long, snapshotRevision: Long) {
        assertEquals(completeForRevision, snapshotRevision)
        electedFencingToken = fencingToken
    }

    override fun onSteppedDown() {
        steppedDown = true
    }

    /** Runs [step] at [ms] and returns its effects. */
    fun at(ms: Long, step: Leadership.() -> Unit = { tick() }): List<Effect> {
        context.now = Now(ms, ms)
        leadership.step()
        return context.drain()
    }

    fun reply(call: Effect.State, reply: StateReply) {
        context.reply(Input.State(call.ticket, reply))
    }

    /** A read of the leadership record that [owner] wrote in its [incarnation] with fencing token 5. */
    fun record(owner: String, incarnation: Long, revision: Long): StateReply {
        val record = LeadershipRecord(owner, incarnation, 5, 9)
        return StateReply.Found(KeyValue(LeadershipRecord.KEY, record.value(), revision))
    }

    /** Ticks from [fromMs] to [toMs] while every read finds a peer's record, unchanged at [revision]. */
    fun watch(fromMs: Long, toMs: Long, revision: Long): List<Effect> {
        val all = ArrayList<Effect>()
        for (ms in fromMs..toMs step TICK_MS) {
            val effects = at(ms)
            for (read in effects.reads()) reply(read, record("p0", 1, revision))
            all.addAll(effects + context.drain())
        }
        return all
    }

    /** Becomes the leader at time 0, as the first controller that writes the record. */
    fun becomeLeader() {
        reply(at(0).stateCall(), StateReply.Missing)
        reply(context.drain().stateCall(), StateReply.Committed(2))
    }

    /** Whether a vote that the second peer requests at [ms] is granted. */
    fun grantsVote(ms: Long, seq: Long = 1): Boolean =
        at(ms) { onPeer(1, PeerMessage.VoteRequest(6, 4, seq)) }
            .messages<PeerMessage.VoteResponse>()
            .single()
            .granted

    /** Whether a follower lease that the first peer requests at [ms] with [fencingToken] is granted. */
    fun grantsLease(ms: Long, fencingToken: Long, seq: Long = ms): Boolean =
        at(ms) { onPeer(0, PeerMessage.FollowerLeaseRequest(fencingToken, seq, true)) }
            .messages<PeerMessage.FollowerLeaseResponse>()
            .single()
            .granted

    companion object {
        const val LABEL = "m"
        const val INCARNATION = 77L
        const val TICK_MS = 100L
    }
}

/** The messages of type [T] that were sent to peers. */
inline fun <reified T : PeerMessage> List<Effect>.messages(): List<T> =
    filterIsInstance<Effect.Send>().map { it.message }.filterIsInstance<T>()

/** The single call of the state service. */
fun List<Effect>.stateCall(): Effect.State = filterIsInstance<Effect.State>().single()

fun List<Effect>.reads(): List<Effect.State> = filterIsInstance<Effect.State>().filter { it.op is StateOp.Read }

fun List<Effect>.commits(): List<Effect.State> = filterIsInstance<Effect.State>().filter { it.op is StateOp.Commit }
