package org.chalkhollow.peer

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.chalkhollow.settings.Address
import org.chalkhollow.settings.Peer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors
import kotlin.concurrent.thread

/** Runs controllers' connections over loopback sockets. Assertions do not depend on timing; a hang fails the test. */
@Timeout(20)
class PeerConnectionsTest {
    private val executor = Executors.newSingleThreadExecutor()
    private val scope = CoroutineScope(SupervisorJob() + executor.asCoroutineDispatcher())
    private val selector = SelectorManager(Dispatchers.IO)
    private val closeables = ArrayList<AutoCloseable>()

    @AfterEach
    fun stop() {
        scope.cancel()
        closeables.forEach { it.close() }
        selector.close()
        executor.shutdown()
    }

    private object NoDrops : DroppedFrameListener {
        override fun onMalformed(peer: String?, reason: String) = Unit

        override fun onUnknownKind(peer: String?, kind: String) = Unit
    }

    private class RecordingListener : PeerConnectionListener {
        val events = CopyOnWriteArrayList<String>()

        override fun onConnected(peer: String) = add("connected to $peer")

        override fun onAccepted(peer: String) = add("accepted $peer")

        override fun onConnectFailed(peer: String, reason: String) = add("cannot connect to $peer")

        override fun onDisconnected(peer: String, reason: String) = add("disconnected from $peer")

        override fun onAcceptedClosed(peer: String, reason: String) = add("closed by $peer")

        override fun onMessageLost(peer: String) = add("lost a message to $peer")

        private fun add(event: String) {
            events.add(event)
        }
    }

    /** The controller [label] with one peer, to which it connects at [peerPort]. */
    private inner class Node(label: String, port: Int, peer: String, peerPort: Int) {
        val listener = RecordingListener()
        val received = CopyOnWriteArrayList<PeerMessage>()
        private val connections =
            PeerConnections(
                scope,
                selector,
                address(port),
                listOf(Peer(peer, address(peerPort))),
                PeerMessage.Hello(label, incarnation = 1, PeerMessage.VERSION),
                NoDrops,
                listener,
            ) { _, message -> received.add(message) }

        fun start() = onLoop { connections.run(connections.bind()) }

        fun send(message: PeerMessage) = onLoop { connections.send(0, message) }
    }

    private fun <T> onLoop(block: suspend () -> T): T = runBlocking { withContext(scope.coroutineContext) { block() } }

    private fun address(port: Int) = Address("127.0.0.1", port)

    private fun freePort(): Int = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }

    private fun waitUntil(condition: () -> Boolean) {
        while (!condition()) Thread.sleep(POLL_MS)
    }

    private fun vote(seq: Long) = PeerMessage.VoteResponse(fencingToken = 1, seq, granted = true)

    /** Sends numbered messages until one of them has arrived at [receiver]. */
    private fun sendUntilOneArrives(sender: Node, receiver: Node) {
        var seq = 0L
        waitUntil {
            sender.send(vote(seq++))
            receiver.received.any { it is PeerMessage.VoteResponse }
        }
    }

    /** A follower whose connections to the leader were refused could send nothing to it, though it still heard it. */
    @Test
    fun `messages to a peer that refuses connections arrive on the connection that the peer opened`() {
        val (portA, portB) = List(2) { freePort() }
        val a = Node("a", portA, "b", peerPort = freePort())
        val b = Node("b", portB, "a", peerPort = portA)
        a.start()
        b.start()
        waitUntil { "accepted b" in a.listener.events && "cannot connect to b" in a.listener.events }
        a.send(vote(7))
        waitUntil { vote(7) in b.received }
        b.send(vote(8))
        waitUntil { vote(8) in a.received }
        assertEquals(listOf(vote(7)), b.received.filterIsInstance<PeerMessage.VoteResponse>())
    }

    /** A connection may stay open and deliver nothing, for example while the network holds its packets back. */
    @Test
    fun `messages avoid a connection that is open but silent`() {
        val (portA, portB) = List(2) { freePort() }
        val silent = ServerSocket(0, 50, InetAddress.getLoopbackAddress()).also(closeables::add)
        thread(isDaemon = true) { runCatching { while (true) closeables.add(silent.accept()) } }
        val a = Node("a", portA, "b", peerPort = silent.localPort)
        val b = Node("b", portB, "a", peerPort = portA)
        a.start()
        b.start()
        waitUntil { "connected to b" in a.listener.events && "accepted b" in a.listener.events }
        sendUntilOneArrives(a, b)
        // The silent connection is opened anew, so that it is used again once it works.
        waitUntil { "disconnected from b" in a.listener.events }
    }

    /** An older version never reads on the connections that it opens: what was sent there would fill its buffers. */
    @Test
    fun `nothing is sent on a connection that a peer of an older version opened`() {
        val portA = freePort()
        val a = Node("a", portA, "b", peerPort = freePort())
        a.start()
        val socket = connect(portA)
        write(socket, PeerMessage.Hello("b", incarnation = 1, version = PeerMessage.TWO_WAY_VERSION - 1))
        write(socket, vote(1))
        waitUntil { vote(1) in a.received }
        a.send(vote(2))
        waitUntil { "lost a message to b" in a.listener.events }
        socket.shutdownOutput()
        assertEquals(-1, socket.getInputStream().read(), "bytes were sent to an older version")
    }

    @Test
    fun `a hello of a version that reads is answered on the same connection`() {
        val portA = freePort()
        Node("a", portA, "b", peerPort = freePort()).start()
        val socket = connect(portA)
        repeat(2) { write(socket, PeerMessage.Hello("b", incarnation = 1, PeerMessage.VERSION)) }
        val input = DataInputStream(socket.getInputStream())
        repeat(2) {
            val answer = Frames.decode(ByteArray(input.readInt()).also(input::readFully))
            assertEquals(PeerMessage.Hello("a", 1, PeerMessage.VERSION), answer)
        }
    }

    @Test
    fun `both directions of a pair work when all connections are open`() {
        val (portA, portB) = List(2) { freePort() }
        val a = Node("a", portA, "b", portB)
        val b = Node("b", portB, "a", portA)
        a.start()
        b.start()
        sendUntilOneArrives(a, b)
        sendUntilOneArrives(b, a)
        assertTrue(a.received.count { it is PeerMessage.Hello } <= 2, "hellos that tell nothing new were passed on")
    }

    /** Opens a connection whose blocking reads fail rather than hang, since they cannot be interrupted. */
    private fun connect(port: Int): Socket =
        Socket(InetAddress.getLoopbackAddress(), port).also {
            it.soTimeout = READ_TIMEOUT_MS
            closeables.add(it)
        }

    private fun write(socket: Socket, message: PeerMessage) {
        val bytes = Frames.encode(message)
        val output = DataOutputStream(socket.getOutputStream())
        output.writeInt(bytes.size)
        output.write(bytes)
        output.flush()
    }

    private companion object {
        const val POLL_MS = 5L
        const val READ_TIMEOUT_MS = 20_000
    }
}
