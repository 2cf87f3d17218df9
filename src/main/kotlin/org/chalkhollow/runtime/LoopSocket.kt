package org.chalkhollow.runtime

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.InternalAPI
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.io.Buffer
import kotlinx.io.IOException
import kotlinx.io.Source
import org.chalkhollow.settings.Address
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.ServerSocketChannel
import java.nio.channels.SocketChannel
import kotlin.coroutines.resume

/**
 * A TCP connection on an [EventLoop]; what arrives is read as Ktor's parsers expect it. Both directions are bounded: a
 * sender that runs ahead is not read from, and a receiver that does not keep up is cut off.
 */
@OptIn(InternalAPI::class)
class LoopSocket private constructor(
    private val loop: EventLoop,
    private val channel: SocketChannel,
    isControl: Boolean = false,
) : ByteReadChannel {
    private val received = Buffer()
    private var waiting: CancellableContinuation<Unit>? = null
    private var ended = false
    private var connected: CancellableContinuation<Unit>? = null
    private var unsent: ByteBuffer? = null
    private val key: SelectionKey =
        loop.register(
            channel,
            0,
            object : EventLoop.Ready {
                override val isControl = isControl

                override fun onReady(key: SelectionKey) = this@LoopSocket.onReady(key)
            },
        )

    /** Told of the first bytes that arrive, before anybody reads them. */
    var onFirstBytes: ((ByteArray) -> Unit)? = null

    override var closedCause: Throwable? = null
        private set
    override val isClosedForRead: Boolean get() = ended && received.exhausted()

    @InternalAPI
    override val readBuffer: Source get() = received

    override suspend fun awaitContent(min: Int): Boolean {
        while (received.size < min) {
            if (ended) return false
            want(SelectionKey.OP_READ, true)
            suspendCancellableCoroutine { waiting = it }
        }
        return true
    }

    override fun cancel(cause: Throwable?) = close()

    /**
     * Whether the other side has closed, or sent something that nobody asked for: not to be used for another
     * request.
     */
    val stale: Boolean get() = ended || !received.exhausted()

    /** Sends all of [bytes], now or as soon as there is room; [IOException] when the connection is gone. */
    fun send(bytes: ByteArray) {
        if (unsent != null) return fail(IOException("the receiver does not keep up"))
        val buffer = ByteBuffer.wrap(bytes)
        channel.write(buffer)
        if (buffer.hasRemaining()) {
            unsent = buffer
            want(SelectionKey.OP_WRITE, true)
        }
    }

    /** Closes the connection once what was sent has left. */
    fun closeAfterSending() {
        if (unsent == null) close() else closing = true
    }

    private var closing = false

    fun close() {
        if (!channel.isOpen) return
        ended = true
        key.cancel()
        channel.close()
        wake()
    }

    private fun fail(e: Throwable) {
        closedCause = e
        close()
    }

    private fun wake() {
        waiting?.let {
            waiting = null
            it.resume(Unit)
        }
        connected?.let {
            connected = null
            it.resume(Unit)
        }
    }

    private fun want(op: Int, on: Boolean) {
        if (!key.isValid) return
        val ops = if (on) key.interestOps() or op else key.interestOps() and op.inv()
        if (ops != key.interestOps()) key.interestOps(ops)
    }

    private fun onReady(key: SelectionKey) {
        try {
            if (key.isConnectable) {
                channel.finishConnect()
                want(SelectionKey.OP_CONNECT, false)
                wake()
                return
            }
            if (key.isReadable) read()
            if (key.isValid && key.isWritable) flush()
        } catch (e: Exception) {
            // whatever it is concerns this connection, and must not end the loop
            fail(e)
        }
    }

    private fun read() {
        val scratch = loop.scratch
        scratch.clear()
        val n = channel.read(scratch)
        if (n < 0) {
            ended = true
            want(SelectionKey.OP_READ, false)
        } else {
            val bytes = ByteArray(n)
            scratch.flip().get(bytes)
            onFirstBytes?.invoke(bytes)
            onFirstBytes = null
            received.write(bytes)
            if (received.size > MOST_UNREAD) want(SelectionKey.OP_READ, false)
        }
        waiting?.let {
            waiting = null
            it.resume(Unit)
        }
    }

    private fun flush() {
        val rest = unsent ?: return want(SelectionKey.OP_WRITE, false)
        channel.write(rest)
        if (rest.hasRemaining()) return
        unsent = null
        want(SelectionKey.OP_WRITE, false)
        if (closing) close()
    }

    companion object {
        private const val MOST_UNREAD = 128 * 1024

        /** Connects to [address]; throws when that fails. Cancelling gives the attempt up. */
        suspend fun connect(loop: EventLoop, address: Address, isControl: Boolean = false): LoopSocket {
            val channel = SocketChannel.open()
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
            val socket = LoopSocket(loop, channel, isControl)
            try {
                if (!channel.connect(InetSocketAddress(address.host, address.port))) {
                    socket.want(SelectionKey.OP_CONNECT, true)
                    suspendCancellableCoroutine { socket.connected = it }
                }
                socket.closedCause?.let { throw it }
                socket.want(SelectionKey.OP_READ, true)
                return socket
            } catch (e: Throwable) {
                socket.close()
                throw e
            }
        }

        /** Listens on [address] and hands over every connection made; [accepted] must not block. */
        fun listen(loop: EventLoop, address: Address, backlog: Int, accepted: (LoopSocket) -> Unit) {
            val server = ServerSocketChannel.open()
            try {
                server.setOption(StandardSocketOptions.SO_REUSEADDR, true)
                server.bind(InetSocketAddress(address.host, address.port), backlog)
            } catch (e: java.io.IOException) {
                server.close()
                throw e
            }
            loop.register(server, SelectionKey.OP_ACCEPT, Acceptor(loop, server, accepted))
        }

        private const val ACCEPTED_AT_ONCE = 16

        /** The next connection; null when none waits or out of sockets, when the rest waits in the backlog. */
        private fun acceptFrom(server: ServerSocketChannel): SocketChannel? =
            try {
                server.accept()
            } catch (e: java.io.IOException) {
                null
            }

        /** Takes connections to [server] as they come. */
        private class Acceptor(
            private val loop: EventLoop,
            private val server: ServerSocketChannel,
            private val accepted: (LoopSocket) -> Unit,
        ) : EventLoop.Ready {
            override fun onReady(key: SelectionKey) {
                var left = ACCEPTED_AT_ONCE
                while (left-- > 0) {
                    val channel = acceptFrom(server) ?: break
                    channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
                    val socket = LoopSocket(loop, channel)
                    socket.want(SelectionKey.OP_READ, true)
                    accepted(socket)
                }
            }
        }
    }
}
