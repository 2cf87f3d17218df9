package org.chalkhollow.core

import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.UserRequest
import org.chalkhollow.core.leadership.Leadership
import org.chalkhollow.model.HttpStatus
import org.chalkhollow.peer.PeerMessage

/**
 * Checks effects that are executed late. If this controller is no longer entitled to act as the leader by then, it must
 * not send what only an entitled leader may send. That includes rejections, because another leader may have accepted
 * the job in the meantime. Writes need no check, because they are conditional. Called by [Controller].
 */
internal class LateEffects(private val leadership: Leadership) {
    private var entitledAtStep = false

    /** A step has ended; its effects may be passed to [check] later. */
    fun stepDone() {
        entitledAtStep = leadership.mayActAsLeader()
    }

    /** Returns what to execute instead of [effect], an effect of the last step; null for nothing. */
    fun check(effect: Effect): Effect? {
        if (!entitledAtStep || leadership.mayActAsLeader()) return effect
        return when (effect) {
            is Effect.Response -> if (isDecided(effect.status)) unavailable(effect) else effect
            is Effect.Send -> checkMessage(effect)
            is Effect.WorkerCommand -> null // the same as a command that is lost on the network
            else -> effect
        }
    }

    private fun checkMessage(effect: Effect.Send): Effect.Send {
        val message = effect.message
        if (message !is PeerMessage.ForwardedResponse || !isDecided(message.status)) return effect
        val unavailable =
            PeerMessage.ForwardedResponse(message.seq, HttpStatus.UNAVAILABLE, ByteArray(0), UserRequest.RETRY_AFTER_S)
        return Effect.Send(effect.peer, unavailable)
    }

    private fun unavailable(effect: Effect.Response) =
        Effect.Response(effect.call, HttpStatus.UNAVAILABLE, null, UserRequest.RETRY_AFTER_S)

    /** A server error says that nothing was decided. Every other response depends on the state of the leader. */
    private fun isDecided(status: Int): Boolean = status < HttpStatus.MIN_SERVER_ERROR
}
