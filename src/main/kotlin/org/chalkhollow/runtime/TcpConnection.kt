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
 * A TCP connection on an [EventLoop]. Buffering is bounded in both directions: a [Receiver] pauses reading when it
 * cannot take more, and the connection is closed when the peer does not read fast enough.
 */
class TcpConnection private constructor(
    private val loop: EventLoop,
    private val channel: SocketChannel,
    override val isControl: Boolean = false,
) : EventLoop.ReadyListener {
    /** Callbacks for received data. */
    interface Receiver {
        /** The first [size] bytes of [bytes] were received. The array is reused after the call. */
        fun onBytes(bytes: ByteArray, size: Int)

        /** No more data will arrive: the peer has closed its side, or the connection is closed or lost. */
        fun onEnd()
    }

    private var receiver: Receiver? = null

    /** Called once when connecting has succeeded or failed; [hasEnded] is true if it failed. */
    private var onConnectEnd: (() -> Unit)? = null
    private var unsent: ByteBuffer? = null
    private var isClosingAfterSending = false
    private var isClosed = false
    private val key: SelectionKey = loop.register(channel, 0, this)

    /** Whether the peer has closed its side, or the connection is closed. */
    var hasEnded = false
        private set

    /** Starts reading; received data goes to [receiver]. */
    fun receive(receiver: Receiver) {
        this.receiver = receiver
        resumeReading()
    }

    /** Stops reading until [resumeReading], so that TCP flow control makes the peer wait. */
    fun pauseReading() = setInterest(SelectionKey.OP_READ, false)

    fun resumeReading() {
        if (!hasEnded) setInterest(SelectionKey.OP_READ, true)
    }

    /**
     * Sends all of [bytes], the rest later if the socket buffer is full. The array must not change afterwards. Closes
     * the connection if bytes of an earlier call are still unsent.
     */
    fun send(bytes: ByteArray) {
        if (isClosed) return
        if (unsent != null) return close() // the peer does not read fast enough
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

    /** Closes the connection when all bytes are sent. */
    fun closeAfterSending() {
        if (unsent == null) close() else isClosingAfterSending = true
    }

    /** Closes the connection at once; unsent bytes are lost. */
    fun close() {
        // Not channel.isOpen: a channel that fails to connect closes itself, but onConnectEnd must still be called.
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
            close() // a failure of one connection must not end the loop
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

        /**
         * Connects to [address]. [onResult] gets the connection, or null if it fails or takes longer than [timeoutMs].
         */
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

        /**
         * Listens on [address] and passes each connection to [onAccepted]. Throws `IOException` if it cannot listen.
         */
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

        /**
         * Returns the next connection. Returns null if none is pending or no socket is available; pending connections
         * then stay in the backlog.
         */
        private fun acceptFrom(server: ServerSocketChannel): SocketChannel? =
            try {
                server.accept()
            } catch (expected: IOException) {
                null
            }

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
