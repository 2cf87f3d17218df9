package org.chalkhollow.core

import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.UserRequest
import org.chalkhollow.core.leadership.Leadership
import org.chalkhollow.model.HttpStatus
import org.chalkhollow.peer.PeerMessage

/**
 * Checks effects that are carried out later than they were decided. What only an entitled leader may say is not said
 * when this controller is none by then, refusals included: the job may have been accepted since. Writes need no such
 * check, their conditions hold or do not. Called by [Controller].
 */
internal class LateEffects(private val leadership: Leadership) {
    private var entitledAtStep = false

    /** A step is over; its effects may be given to [check] later. */
    fun stepDone() {
        entitledAtStep = leadership.mayActAsLeader()
    }

    /** What is still to be done of [effect], which the last step decided; null for nothing. */
    fun check(effect: Effect): Effect? {
        if (!entitledAtStep || leadership.mayActAsLeader()) return effect
        return when (effect) {
            is Effect.Response -> if (isDecided(effect.status)) unavailable(effect) else effect
            is Effect.Send -> checkMessage(effect)
            is Effect.WorkerCommand -> null // like a command that is lost on its way
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

    /** Server errors say that nothing was decided; every other response rests on what the leader knows. */
    private fun isDecided(status: Int): Boolean = status < HttpStatus.SERVER_ERRORS
}
