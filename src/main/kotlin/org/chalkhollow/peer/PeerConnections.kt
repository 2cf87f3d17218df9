package org.chalkhollow.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteWriteChannel
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

/**
 * Connections to the other controllers: each sends on the one it opened and receives on those it accepted. Peers are
 * named by their index in [peers]. All of it runs in [scope], which must be one thread; [receive] is called there with
 * every message, hellos included.
 */
class PeerConnections(
    private val scope: CoroutineScope,
    private val selector: SelectorManager,
    private val listen: Address,
    private val peers: List<Peer>,
    private val hello: PeerMessage.Hello,
    dropped: DroppedFrameListener,
    private val receive: (Int, PeerMessage) -> Unit,
) {
    private val listener =
        PeerFrameReader(
            peers.map { it.label },
            dropped,
            object : PeerMessageListener {
                override fun onHello(peer: Int, hello: PeerMessage.Hello) = greeted(peer, hello)

                override fun onMessage(peer: Int, message: PeerMessage) = receive(peer, message)
            },
        )

    /** The last incarnation that each peer has named; 0 before the first. */
    private val incarnations = LongArray(peers.size)

    /** Whether the connection that we opened to each peer is open. */
    private val connected = BooleanArray(peers.size)

    /** Signals that a peer listens and should be called now: it restarted, or called while we were not connected. */
    private val wakeUps = peers.map { Channel<Unit>(Channel.CONFLATED) }
    private val queues = peers.map { Channel<PeerMessage>(MAX_QUEUED, BufferOverflow.DROP_OLDEST) }

    /** Queues [message]; the oldest are dropped while a peer does not take any, and all when it reconnects. */
    fun send(peer: Int, message: PeerMessage) {
        queues[peer].trySend(message)
    }

    /** Binds the port; throws what the socket throws when that is not possible. */
    suspend fun bind(): ServerSocket = aSocket(selector).tcp().bind(listen.host, listen.port) { reuseAddress = true }

    /** Serves connections to [server] and keeps one open to each peer, for as long as the scope lives. */
    fun run(server: ServerSocket) {
        scope.launch { acceptAll(server) }
        for (peer in peers.indices) scope.launch { keepConnected(peer) }
    }

    private fun greeted(peer: Int, hello: PeerMessage.Hello) {
        val before = incarnations[peer]
        incarnations[peer] = hello.incarnation
        val restarted = before != 0L && before != hello.incarnation
        if (!connected[peer] || restarted) wakeUps[peer].trySend(Unit)
        receive(peer, hello)
    }

    private suspend fun acceptAll(server: ServerSocket) {
        while (true) {
            val socket =
                try {
                    server.accept()
                } catch (e: CancellationException) {
                    throw e
                } catch (expected: Exception) {
                    // Out of sockets, for one. Not only IOException, and a loop that ends would leave us unreachable.
                    delay(RETRY_MS)
                    continue
                }
            scope.launch { receiveFrom(socket) }
        }
    }

    private suspend fun receiveFrom(socket: Socket) {
        try {
            listener.readFrames(socket.openReadChannel())
        } catch (e: CancellationException) {
            throw e
        } catch (expected: Exception) {
            // The peer went away; it connects again when it is back.
        } finally {
            socket.close()
        }
    }

    private suspend fun keepConnected(peer: Int) {
        while (true) {
            try {
                connect(peer)?.use { sendAll(peer, it) }
            } catch (e: CancellationException) {
                throw e
            } catch (expected: Exception) {
                // Refused, reset or not resolved: try again shortly.
            } finally {
                connected[peer] = false
            }
            withTimeoutOrNull(RETRY_MS) { wakeUps[peer].receive() }
        }
    }

    /** Sends what is queued for [peer] until the process at the other end of [socket] has ended. */
    private suspend fun sendAll(peer: Int, socket: Socket) {
        val queue = queues[peer]
        connected[peer] = true
        while (queue.tryReceive().isSuccess) Unit // meant for another incarnation, or too old
        val output = socket.openWriteChannel(autoFlush = false)
        write(output, hello)
        while (true) {
            val message: PeerMessage? =
                select {
                    queue.onReceive { it }
                    wakeUps[peer].onReceive { null }
                }
            write(output, message ?: return)
        }
    }

    private suspend fun write(output: ByteWriteChannel, message: PeerMessage) {
        val bytes = Frames.encode(message)
        output.writeInt(bytes.size)
        output.writeByteArray(bytes)
        output.flush()
    }

    /** Null when nothing answers in time, or as soon as the peer itself has called, which it does once it listens. */
    private suspend fun connect(peer: Int): Socket? =
        withTimeoutOrNull(CONNECT_MS) {
            coroutineScope {
                val address = peers[peer].address
                val attempt = async { aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true } }
                select {
                    attempt.onAwait { it }
                    wakeUps[peer].onReceive {
                        attempt.cancel()
                        wakeUps[peer].trySend(Unit) // so that the next attempt is made at once
                        null
                    }
                }
            }
        }

    private companion object {
        const val MAX_QUEUED = 256
        const val CONNECT_MS = 1000L
        const val RETRY_MS = 300L
    }
}
