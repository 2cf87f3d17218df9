package org.chalkhollow.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.chalkhollow.settings.Address
import org.chalkhollow.settings.Peer

/** Connections to the other controllers: each sends on the one it opened and receives on those it accepted. */
class PeerConnections(
    private val scope: CoroutineScope,
    private val selector: SelectorManager,
    private val listen: Address,
    private val peers: List<Peer>,
    private val hello: PeerMessage.Hello,
    dropped: DroppedFrameListener,
    private val receive: (Int, PeerMessage) -> Unit,
) {
    private val listener = PeerListener(peers.map { it.label }, dropped, ::greeted, receive)

    /** The last life that each peer has told of, and whether a connection to it stands. */
    private val lives = LongArray(peers.size)
    private val connected = BooleanArray(peers.size)

    /**
     * Peers that have begun a new life, or that called while we had no connection to them: they listen, so call them
     * now.
     */
    private val wake = peers.map { Channel<Unit>(Channel.CONFLATED) }
    private val queues = peers.map { Channel<PeerMessage>(QUEUE, BufferOverflow.DROP_OLDEST) }

    fun send(peer: Int, message: PeerMessage) {
        queues[peer].trySend(message)
    }

    suspend fun bind(): ServerSocket = aSocket(selector).tcp().bind(listen.host, listen.port) { reuseAddress = true }

    private fun greeted(peer: Int, hello: PeerMessage.Hello) {
        val before = lives[peer]
        lives[peer] = hello.incarnation
        if (!connected[peer] || before != 0L && before != hello.incarnation) wake[peer].trySend(Unit)
        receive(peer, hello)
    }

    fun run(server: ServerSocket) {
        scope.launch {
            while (true) {
                val socket =
                    try {
                        server.accept()
                    } catch (e: CancellationException) {
                        throw e
                    } catch (e: Throwable) {
                        delay(RETRY_MS)
                        continue
                    }
                scope.launch { receiveFrom(socket) }
            }
        }
        for (i in peers.indices) scope.launch { sendTo(i) }
    }

    private suspend fun receiveFrom(socket: Socket) {
        try {
            listener.readFrames(socket.openReadChannel())
        } catch (e: CancellationException) {
            throw e
        } catch (e: Throwable) {
            // The peer went away; it connects again when it is back.
        } finally {
            socket.close()
        }
    }

    private suspend fun sendTo(i: Int) {
        val queue = queues[i]
        while (true) {
            var socket: Socket? = null
            try {
                socket = connect(i)
                if (socket != null) {
                    connected[i] = true
                    while (queue.tryReceive().isSuccess) Unit // what waited was for another life or too long ago
                    val output = socket.openWriteChannel(autoFlush = false)
                    var message: PeerMessage = hello
                    while (true) {
                        val bytes = Frames.encode(message)
                        output.writeInt(bytes.size)
                        output.writeByteArray(bytes)
                        output.flush()
                        message = select {
                            queue.onReceive { it }
                            wake[i].onReceive { null } // what this connection leads to has ended
                        } ?: break
                    }
                }
            } catch (e: CancellationException) {
                throw e
            } catch (e: Throwable) {
                // Refused or reset: try again shortly.
            } finally {
                connected[i] = false
                socket?.close()
            }
            withTimeoutOrNull(RETRY_MS) { wake[i].receive() }
        }
    }

    /**
     * Null after a while without an answer, or as soon as the peer itself has called, which it does once it listens.
     */
    private suspend fun connect(i: Int): Socket? =
        withTimeoutOrNull(CONNECT_MS) {
            coroutineScope {
                val attempt =
                    async {
                        aSocket(selector).tcp().connect(peers[i].address.host, peers[i].address.port) {
                            noDelay =
                                true
                        }
                    }
                select {
                    attempt.onAwait { it }
                    wake[i].onReceive {
                        attempt.cancel()
                        wake[i].trySend(Unit) // so that the next attempt is made at once
                        null
                    }
                }
            }
        }

    private companion object {
        const val QUEUE = 256
        const val CONNECT_MS = 1000L
        const val RETRY_MS = 300L
    }
}
