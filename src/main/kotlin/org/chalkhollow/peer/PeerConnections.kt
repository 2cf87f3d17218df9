package org.chalkhollow.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.chalkhollow.settings.Address
import org.chalkhollow.settings.Peer

/**
 * Connections to the other controllers. Each controller opens one connection to each peer, and both ends send and
 * receive on it; [PeerLink] chooses between the two connections of a pair. Peers of older versions only receive on
 * connections that they accepted, and only send on those that they opened. Peers are identified by their index in
 * [peers]. Everything runs in [scope], which must be single-threaded; [receive] is called there with every message,
 * including the hellos that open a connection or contain something new.
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
    private val links = peers.map { PeerLink() }

    /**
     * By peer: signals that this controller should connect now, because a hello shows that the peer listens. Sent when
     * the peer has restarted, or when it connects while this controller is not connected to it.
     */
    private val reconnectSignals = peers.map { Channel<Unit>(Channel.CONFLATED) }

    /**
     * Sends [message] to [peer] on a connection that is open. The message is dropped if there is none, and when the
     * connection ends before it was written.
     */
    fun send(peer: Int, message: PeerMessage) {
        val connection = links[peer].sendingConnection() ?: return listener.onMessageLost(labels[peer])
        connection.send(message)
    }

    /** Binds the port; throws the socket's exception if that fails. */
    suspend fun bind(): ServerSocket = aSocket(selector).tcp().bind(listen.host, listen.port) { reuseAddress = true }

    /** Accepts connections on [server] and keeps a connection to each peer open until the scope is cancelled. */
    fun run(server: ServerSocket) {
        scope.launch { acceptAll(server) }
        for (peer in peers.indices) scope.launch { keepConnected(peer) }
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
            scope.launch { serveAccepted(socket) }
        }
    }

    private suspend fun serveAccepted(socket: Socket) {
        val handler = AcceptedConnectionHandler(PeerConnection(socket))
        var reason = "invalid frame"
        try {
            coroutineScope {
                val writing = async { handler.connection.writeQueued() }
                PeerFrameReader(labels, droppedFrames, handler).readFrames(socket.openReadChannel())
                writing.cancel()
            }
        } catch (e: CancellationException) {
            throw e
        } catch (expected: Exception) {
            reason = describe(expected) // the peer opens a new connection when it can
        } finally {
            socket.close()
            handler.closed(reason)
        }
    }

    /** Handles the frames on a connection that a peer opened. */
    private inner class AcceptedConnectionHandler(val connection: PeerConnection) : PeerMessageListener {
        private var peer: Int? = null

        override fun onHello(peer: Int, hello: PeerMessage.Hello) {
            connection.heard()
            if (this.peer == null) opened(peer, hello)
            if (links[peer].isTwoWay) connection.send(this@PeerConnections.hello)
        }

        private fun opened(peer: Int, hello: PeerMessage.Hello) {
            this.peer = peer
            listener.onAccepted(labels[peer])
            val link = links[peer]
            val restarted = link.hello?.let { it.incarnation != hello.incarnation } ?: false
            if (link.opened == null || restarted) reconnectSignals[peer].trySend(Unit)
            link.hello = hello
            link.accepted = connection.takeIf { link.isTwoWay }
            receive(peer, hello)
        }

        override fun onMessage(peer: Int, message: PeerMessage) {
            connection.heard()
            receive(peer, message)
        }

        fun closed(reason: String) {
            val peer = peer ?: return
            val link = links[peer]
            if (link.accepted === connection) link.accepted = null
            listener.onAcceptedClosed(labels[peer], reason)
        }
    }

    private suspend fun keepConnected(peer: Int) {
        val link = links[peer]
        while (true) {
            try {
                connect(peer)?.use { serveOpened(peer, it) }
            } catch (e: CancellationException) {
                throw e
            } catch (expected: Exception) {
                // The connection was refused or reset, or the host name was not resolved; it is retried below.
                val reason = describe(expected)
                if (link.opened == null) listener.onConnectFailed(labels[peer], reason) else disconnected(peer, reason)
            } finally {
                link.opened = null
            }
            withTimeoutOrNull(RETRY_DELAY_MS) { reconnectSignals[peer].receive() }
        }
    }

    private fun disconnected(peer: Int, reason: String) = listener.onDisconnected(labels[peer], reason)

    /** Sends and receives on [socket], which this controller opened, until it fails or has to be opened anew. */
    private suspend fun serveOpened(peer: Int, socket: Socket) {
        val connection = PeerConnection(socket)
        connection.send(hello)
        links[peer].opened = connection
        listener.onConnected(labels[peer])
        coroutineScope {
            val tasks =
                listOf(
                    async { connection.writeQueued() },
                    async { readOpened(peer, connection, socket) },
                    async { keepAlive(peer, connection) },
                    async { reconnectSignals[peer].receive().let { "the peer has restarted" } },
                )
            val reason = select<String> { tasks.forEach { task -> task.onAwait { it } } }
            tasks.forEach { it.cancel() }
            disconnected(peer, reason)
        }
    }

    /** Reads what the peer sends on a connection that this controller opened. Returns why it ended. */
    private suspend fun readOpened(expected: Int, connection: PeerConnection, socket: Socket): String {
        val handler =
            object : PeerMessageListener {
                override fun onHello(peer: Int, hello: PeerMessage.Hello) {
                    if (peer != expected) return
                    connection.heard()
                    if (links[peer].hello == hello) return
                    links[peer].hello = hello
                    receive(peer, hello)
                }

                override fun onMessage(peer: Int, message: PeerMessage) {
                    if (peer != expected) return
                    connection.heard()
                    receive(peer, message)
                }
            }
        PeerFrameReader(labels, droppedFrames, handler).readFrames(socket.openReadChannel())
        return "invalid frame"
    }

    /** Sends hellos on [connection] while the peer answers them. Returns why it has to be opened anew. */
    private suspend fun keepAlive(peer: Int, connection: PeerConnection): String {
        while (true) {
            delay(PeerLink.HELLO_INTERVAL)
            if (!links[peer].isTwoWay) continue
            if (connection.silentFor(PeerLink.RECONNECT_AFTER_SILENCE)) return "the peer does not answer on it"
            connection.send(hello)
        }
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

    private fun describe(failure: Exception): String = failure.message ?: failure::class.java.simpleName

    private companion object {
        const val CONNECT_TIMEOUT_MS = 1000L
        const val RETRY_DELAY_MS = 300L
    }
}
