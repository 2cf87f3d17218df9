package org.chalkhollow.core

import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.Input
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.common.StateReply
import org.chalkhollow.core.leadership.Leadership
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.settings.OperatorSettings
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertSame
import org.junit.jupiter.api.Test

/** Effects that are executed after the controller that decided them may no longer act as the leader. */
class LateEffectsTest {
    private val context = CoreContext(1).also { it.now = Now(0, 0) }
    private val options = OperatorSettings()
    private val leadership = Leadership(context, "m", emptyList(), 77, options, 0, 0, AlwaysPrepared)
    private val lateEffects = LateEffects(leadership)

    private object AlwaysPrepared : Leadership.Events {
        override fun requestSnapshot(revision: Long) = Unit

        override fun snapshotComplete(revision: Long) = true

        override fun discardSnapshot() = Unit

        override fun onElected(fencingToken: Long, revision: Long, writes: Long, snapshotRevision: Long) = Unit

        override fun onSteppedDown() = Unit
    }

    private val command = Effect.WorkerCommand(1, "a", 1, 1, emptyList())
    private val accepted = Effect.Response(5, 201, ByteArray(1))
    private val timer = Effect.Timer(9)

    /** Without peers and without a leadership record, the controller leads as soon as its own record is written. */
    private fun lead() {
        leadership.tick()
        reply(StateReply.Missing)
        reply(StateReply.Committed(1))
        check(leadership.mayActAsLeader()) { "does not lead" }
    }

    private fun reply(reply: StateReply) {
        val call = context.drain().filterIsInstance<Effect.State>().last()
        context.reply(Input.State(call.ticket, reply))
    }

    private fun leadAndExpire() {
        lead()
        lateEffects.stepDone()
        context.now = Now(options.outageLimitMs * 2, options.outageLimitMs * 2)
        check(!leadership.mayActAsLeader()) { "still leads" }
    }

    @Test
    fun `all effects are executed unchanged while the controller may act as the leader`() {
        lead()
        lateEffects.stepDone()
        for (effect in listOf(command, accepted, timer)) assertSame(effect, lateEffects.check(effect))
    }

    @Test
    fun `an effect of a follower is executed unchanged`() {
        lateEffects.stepDone()
        assertSame(accepted, lateEffects.check(accepted))
    }

    @Test
    fun `after the lease has expired, no command is sent and a decision becomes unavailable`() {
        leadAndExpire()
        assertNull(lateEffects.check(command))
        val response = lateEffects.check(accepted) as Effect.Response
        assertEquals(listOf(5, 503, 1), listOf(response.call, response.status, response.retryAfterS))
        assertNull(response.body)
    }

    @Test
    fun `after the lease has expired, a forwarded decision becomes unavailable`() {
        leadAndExpire()
        val forwarded = Effect.Send(2, PeerMessage.ForwardedResponse(7, 404, ByteArray(3), 0))
        val sent = lateEffects.check(forwarded) as Effect.Send
        val message = sent.message as PeerMessage.ForwardedResponse
        assertEquals(2, sent.peer)
        assertEquals(7L, message.seq)
        assertEquals(listOf(503, 0, 1), listOf(message.status, message.body.size, message.retryAfterS))
    }

    @Test
    fun `after the lease has expired, server errors and effects without a decision are executed unchanged`() {
        leadAndExpire()
        val unavailable = Effect.Response(5, 503, null, 1)
        val release = Effect.Send(0, PeerMessage.LeadershipRelease(1))
        for (effect in listOf(unavailable, release, timer)) assertSame(effect, lateEffects.check(effect))
    }
}
