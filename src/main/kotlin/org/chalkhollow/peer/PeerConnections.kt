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
 * Connections to the other controllers. A controller sends on connections that it opened and receives on connections
 * that it accepted. Peers are identified by their index in [peers]. Everything runs in [scope], which must be
 * single-threaded; [receive] is called there with every message, including hellos.
 */
class PeerConnections(
    private val scope: CoroutineScope,
    private val selector: SelectorManager,
    private val listen: Address,
    private val peers: List<Peer>,
    private val hello: PeerMessage.Hello,
    private val droppedFrames: DroppedFrameListener,
    private val listener: PeerConnectionListener,
    private val receive: (Int, PeerMessage) -> Unit,
) {
    private val labels = peers.map { it.label }

    /** By peer: the incarnation in its last hello; 0 before the first hello. */
    private val incarnations = LongArray(peers.size)

    /** By peer: whether this controller's connection to it is open. */
    private val isConnected = BooleanArray(peers.size)

    /**
     * By peer: signals that this controller should connect now, because a hello shows that the peer listens. Sent when
     * the peer has restarted, or when it connects while this controller is not connected to it.
     */
    private val reconnectSignals = peers.map { Channel<Unit>(Channel.CONFLATED) }
    private val queues = peers.map { Channel<PeerMessage>(MAX_QUEUED_MESSAGES, BufferOverflow.DROP_OLDEST) }

    /**
     * Queues [message] for [peer]. When the queue is full, the oldest message is dropped. When a new connection to the
     * peer is open, all messages that were queued before are dropped.
     */
    fun send(peer: Int, message: PeerMessage) {
        if (!isConnected[peer]) listener.onMessageLost(labels[peer])
        queues[peer].trySend(message)
    }

    /** Binds the port; throws the socket's exception if that fails. */
    suspend fun bind(): ServerSocket = aSocket(selector).tcp().bind(listen.host, listen.port) { reuseAddress = true }

    /** Accepts connections on [server] and keeps a connection to each peer open until the scope is cancelled. */
    fun run(server: ServerSocket) {
        scope.launch { acceptAll(server) }
        for (peer in peers.indices) scope.launch { keepConnected(peer) }
    }

    /** Handles the frames of one connection that a peer opened. */
    private inner class AcceptedConnection : PeerMessageListener {
        var peer: Int? = null
            private set

        override fun onHello(peer: Int, hello: PeerMessage.Hello) {
            this.peer = peer
            listener.onAccepted(labels[peer])
            handleHello(peer, hello)
        }

        override fun onMessage(peer: Int, message: PeerMessage) = receive(peer, message)
    }

    private fun handleHello(peer: Int, hello: PeerMessage.Hello) {
        val previous = incarnations[peer]
        incarnations[peer] = hello.incarnation
        val restarted = previous != 0L && previous != hello.incarnation
        if (!isConnected[peer] || restarted) reconnectSignals[peer].trySend(Unit)
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
                    // For example, no file descriptors are left. No type of exception may end the loop, because then no
                    // peer could connect any more.
                    delay(RETRY_DELAY_MS)
                    continue
                }
            scope.launch { receiveFrom(socket) }
        }
    }

    private suspend fun receiveFrom(socket: Socket) {
        val connection = AcceptedConnection()
        var reason = "invalid frame"
        try {
            PeerFrameReader(labels, droppedFrames, connection).readFrames(socket.openReadChannel())
        } catch (e: CancellationException) {
            throw e
        } catch (expected: Exception) {
            reason = describe(expected) // the peer opens a new connection when it can
        } finally {
            connection.peer?.let { listener.onAcceptedClosed(labels[it], reason) }
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
                // The connection was refused or reset, or the host name was not resolved; it is retried below.
                reportFailure(peer, expected)
            } finally {
                isConnected[peer] = false
            }
            withTimeoutOrNull(RETRY_DELAY_MS) { reconnectSignals[peer].receive() }
        }
    }

    private fun reportFailure(peer: Int, failure: Exception) {
        val reason = describe(failure)
        val label = labels[peer]
        if (isConnected[peer]) listener.onDisconnected(label, reason) else listener.onConnectFailed(label, reason)
    }

    private fun describe(failure: Exception): String = failure.message ?: failure::class.java.simpleName

    /** Sends messages queued for [peer] on [socket] until a write fails or the peer signals a restart. */
    private suspend fun sendAll(peer: Int, socket: Socket) {
        val queue = queues[peer]
        isConnected[peer] = true
        listener.onConnected(labels[peer])
        while (queue.tryReceive().isSuccess) Unit // outdated, or for an earlier incarnation
        val output = socket.openWriteChannel(autoFlush = false)
        write(output, hello)
        while (true) {
            val message: PeerMessage? =
                select {
                    queue.onReceive { it }
                    reconnectSignals[peer].onReceive { null }
                }
            write(output, message ?: return listener.onDisconnected(labels[peer], "the peer has restarted"))
        }
    }

    private suspend fun write(output: ByteWriteChannel, message: PeerMessage) {
        val bytes = Frames.encode(message)
        output.writeInt(bytes.size)
        output.writeByteArray(bytes)
        output.flush()
    }

    /**
     * Connects to [peer]. Returns null after [CONNECT_TIMEOUT_MS], or at once when a hello of the peer shows that it
     * listens by now; then the caller retries.
     */
    private suspend fun connect(peer: Int): Socket? {
        var isSignalled = false
        val socket = connectWithin(peer) { isSignalled = true }
        if (socket == null && !isSignalled) {
            listener.onConnectFailed(labels[peer], "no reply within $CONNECT_TIMEOUT_MS ms")
        }
        return socket
    }

    private suspend fun connectWithin(peer: Int, onSignal: () -> Unit): Socket? =
        withTimeoutOrNull(CONNECT_TIMEOUT_MS) {
            coroutineScope {
                val address = peers[peer].address
                val opening = async { aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true } }
                select {
                    opening.onAwait { it }
                    reconnectSignals[peer].onReceive {
                        opening.cancel()
                        onSignal()
                        reconnectSignals[peer].trySend(Unit) // the caller retries at once
                        null
                    }
                }
            }
        }

    private companion object {
        const val MAX_QUEUED_MESSAGES = 256
        const val CONNECT_TIMEOUT_MS = 1000L
        const val RETRY_DELAY_MS = 300L
    }
}
