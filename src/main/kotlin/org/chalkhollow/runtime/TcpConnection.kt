package org.chalkhollow.runtime

import org.chalkhollow.settings.Address
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.ServerSocketChannel
import java.nio.channels.SocketChannel

/**
 * A TCP connection on an [EventLoop]. Both directions are bounded: a [Receiver] that cannot take more pauses reading,
 * and a peer that does not keep up with what is sent is cut off.
 */
class TcpConnection private constructor(
    private val loop: EventLoop,
    private val channel: SocketChannel,
    override val isControl: Boolean = false,
) : EventLoop.ReadyListener {
    /** Callbacks for what arrives on a connection. */
    interface Receiver {
        /** The first [size] of [bytes] have arrived; the array is used again after the call. */
        fun onBytes(bytes: ByteArray, size: Int)

        /** Nothing more will arrive: the peer has closed, or the connection was closed or lost. */
        fun onEnd()
    }

    private var receiver: Receiver? = null

    /** Called once when the attempt to connect has ended; [hasEnded] says whether it failed. */
    private var onConnectEnd: (() -> Unit)? = null
    private var unsent: ByteBuffer? = null
    private var isClosingAfterSending = false
    private var isClosed = false
    private val key: SelectionKey = loop.register(channel, 0, this)

    /** Whether the peer has closed its side, or the connection is closed. */
    var hasEnded = false
        private set

    /** Begins to hand what arrives to [receiver]. */
    fun receive(receiver: Receiver) {
        this.receiver = receiver
        resumeReading()
    }

    /** Reads no more until [resumeReading], so that the peer has to wait. */
    fun pauseReading() = setInterest(SelectionKey.OP_READ, false)

    fun resumeReading() {
        if (!hasEnded) setInterest(SelectionKey.OP_READ, true)
    }

    /** Sends all of [bytes], now or as soon as there is room. The array must not change afterwards. */
    fun send(bytes: ByteArray) {
        if (isClosed) return
        if (unsent != null) return close() // the peer does not keep up
        val buffer = ByteBuffer.wrap(bytes)
        try {
            channel.write(buffer)
        } catch (expected: IOException) {
            return close()
        }
        if (buffer.hasRemaining()) {
            unsent = buffer
            setInterest(SelectionKey.OP_WRITE, true)
        }
    }

    /** Closes the connection once what was sent has left. */
    fun closeAfterSending() {
        if (unsent == null) close() else isClosingAfterSending = true
    }

    /** Closes the connection at once; what was not sent yet is lost. */
    fun close() {
        // Not by whether the channel is open: one that cannot connect has closed itself, and its callback is still due.
        if (isClosed) return
        isClosed = true
        key.cancel()
        channel.close()
        end()
        endConnect()
    }

    private fun end() {
        if (hasEnded) return
        hasEnded = true
        receiver?.onEnd()
    }

    private fun setInterest(operation: Int, on: Boolean) {
        if (!key.isValid) return
        val operations = if (on) key.interestOps() or operation else key.interestOps() and operation.inv()
        if (operations != key.interestOps()) key.interestOps(operations)
    }

    override fun onReady(key: SelectionKey) {
        try {
            if (key.isConnectable) return onConnected()
            if (key.isReadable) read()
            if (key.isValid && key.isWritable) flush()
        } catch (expected: Exception) {
            close() // whatever the fault, it concerns this connection only, and must not end the loop
        }
    }

    private fun onConnected() {
        channel.finishConnect()
        setInterest(SelectionKey.OP_CONNECT, false)
        endConnect()
    }

    private fun endConnect() {
        val callback = onConnectEnd ?: return
        onConnectEnd = null
        callback()
    }

    private fun read() {
        val readBuffer = loop.readBuffer
        readBuffer.clear()
        val size = channel.read(readBuffer)
        if (size < 0) {
            pauseReading()
            end()
        } else {
            receiver?.onBytes(readBuffer.array(), size)
        }
    }

    private fun flush() {
        val rest = unsent ?: return setInterest(SelectionKey.OP_WRITE, false)
        channel.write(rest)
        if (rest.hasRemaining()) return
        unsent = null
        setInterest(SelectionKey.OP_WRITE, false)
        if (isClosingAfterSending) close()
    }

    companion object {
        private const val MAX_ACCEPTED_PER_PASS = 4

        /** Connects to [address]; [onResult] gets the connection, or null when there is none after [timeoutMs]. */
        fun connect(
            loop: EventLoop,
            address: Address,
            isControl: Boolean,
            timeoutMs: Long,
            onResult: (TcpConnection?) -> Unit,
        ) {
            val channel = SocketChannel.open()
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
            val socket = TcpConnection(loop, channel, isControl)
            val timeout = loop.runAfter(timeoutMs) { socket.close() }
            socket.onConnectEnd = {
                timeout.dispose()
                onResult(socket.takeUnless { it.hasEnded })
            }
            try {
                if (channel.connect(InetSocketAddress(address.host, address.port))) {
                    socket.endConnect()
                } else {
                    socket.setInterest(SelectionKey.OP_CONNECT, true)
                }
            } catch (expected: IOException) {
                socket.close()
            }
        }

        /** Listens on [address] and hands every connection to [onAccepted]; throws `IOException` when it cannot. */
        fun listen(loop: EventLoop, address: Address, backlog: Int, onAccepted: (TcpConnection) -> Unit) {
            val server = ServerSocketChannel.open()
            try {
                server.setOption(StandardSocketOptions.SO_REUSEADDR, true)
                server.bind(InetSocketAddress(address.host, address.port), backlog)
            } catch (e: IOException) {
                server.close()
                throw e
            }
            loop.register(server, SelectionKey.OP_ACCEPT, Acceptor(loop, server, onAccepted))
        }

        /** The next connection; null when none waits, or when out of sockets, and the rest stays in the backlog. */
        private fun acceptFrom(server: ServerSocketChannel): SocketChannel? =
            try {
                server.accept()
            } catch (expected: IOException) {
                null
            }

        /** Accepts connections to [server]. */
        private class Acceptor(
            private val loop: EventLoop,
            private val server: ServerSocketChannel,
            private val onAccepted: (TcpConnection) -> Unit,
        ) : EventLoop.ReadyListener {
            override fun onReady(key: SelectionKey) {
                repeat(MAX_ACCEPTED_PER_PASS) {
                    val channel = acceptFrom(server) ?: return
                    channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
                    onAccepted(TcpConnection(loop, channel))
                }
            }
        }
    }
}
