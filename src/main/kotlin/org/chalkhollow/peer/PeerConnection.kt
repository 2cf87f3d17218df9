package org.chalkhollow.peer

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** An open connection to another controller: its queue of outgoing messages, and when the peer was last heard on it. */
internal class PeerConnection(private val socket: Socket) {
    private val queue = Channel<PeerMessage>(MAX_QUEUED_MESSAGES, BufferOverflow.DROP_OLDEST)
    private val openedAt = TimeSource.Monotonic.markNow()
    private var heardAt: TimeMark? = null

    /** Queues [message]. When the queue is full, the oldest message is dropped. */
    fun send(message: PeerMessage) {
        queue.trySend(message)
    }

    /** A frame of the peer has arrived on this connection. */
    fun heard() {
        heardAt = TimeSource.Monotonic.markNow()
    }

    /** Whether a frame of the peer arrived on this connection within the last [duration]. */
    fun heardWithin(duration: Duration): Boolean = heardAt?.let { it.elapsedNow() <= duration } ?: false

    /** Whether no frame of the peer arrived on this connection for [duration] or more, counted from its opening. */
    fun silentFor(duration: Duration): Boolean = (heardAt ?: openedAt).elapsedNow() >= duration

    /** Writes the queued messages until the connection fails, and throws its exception. */
    suspend fun writeQueued(): Nothing {
        val output = socket.openWriteChannel(autoFlush = false)
        while (true) write(output, queue.receive())
    }

    private suspend fun write(output: ByteWriteChannel, message: PeerMessage) {
        val bytes = Frames.encode(message)
        output.writeInt(bytes.size)
        output.writeByteArray(bytes)
        output.flush()
    }

    private companion object {
        const val MAX_QUEUED_MESSAGES = 256
    }
}
