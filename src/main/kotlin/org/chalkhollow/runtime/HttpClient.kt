package org.chalkhollow.runtime

import kotlinx.coroutines.DisposableHandle
import org.chalkhollow.settings.Address

/** The outcome of an HTTP request. */
sealed interface HttpResult {
    class Response(val status: Int, val body: ByteArray) : HttpResult

    /** The request was certainly not sent. */
    data object NotSent : HttpResult

    /** The request may or may not have been executed: there was no response, or none that is valid HTTP. */
    data object NoResponse : HttpResult
}

/**
 * An HTTP client for one address. Connections are persistent and carry one request at a time; up to
 * [maxIdleConnections] idle ones are kept. A response body has at most [maxBodyBytes] bytes. Results are delivered as
 * tasks of [priority]. Connections of a [TaskPriority.CONTROL] client, on which leadership depends, are also read
 * before all others. The client starts no coroutines, for the reason given at [HttpServerConnection].
 */
class HttpClient(
    private val loop: EventLoop,
    private val address: Address,
    private val maxBodyBytes: Int,
    private val maxIdleConnections: Int,
    private val priority: TaskPriority,
) {
    private val idle = ArrayDeque<ClientConnection>()
    private val host = address.toString()
    private var isClosed = false
    private val canKeepIdle: Boolean get() = !isClosed && idle.size < maxIdleConnections

    /**
     * Sends a request. [onResult] is called once on the loop's thread. The result is [HttpResult.NoResponse] if there
     * is no response [timeoutMs] after sending.
     */
    fun request(method: String, path: String, body: ByteArray?, timeoutMs: Long, onResult: (HttpResult) -> Unit) {
        val exchange = Exchange(HttpWriter.request(method, host, path, body), timeoutMs, onResult)
        val connection = idleConnection()
        if (connection != null) return connection.begin(exchange)
        val connectTimeoutMs = minOf(timeoutMs, CONNECT_TIMEOUT_MS)
        TcpConnection.connect(loop, address, priority == TaskPriority.CONTROL, connectTimeoutMs) { socket ->
            if (socket == null) finish(exchange, HttpResult.NotSent) else ClientConnection(socket).begin(exchange)
        }
    }

    /** Closes idle connections at once and every other connection when its request has ended. */
    fun close() {
        isClosed = true
        while (true) (idle.removeLastOrNull() ?: return).close()
    }

    private fun finish(exchange: Exchange, result: HttpResult) = loop.submit(priority) { exchange.onResult(result) }

    private fun idleConnection(): ClientConnection? {
        while (true) {
            val connection = idle.removeLastOrNull() ?: return null
            if (connection.isUsable) return connection
            connection.close()
        }
    }

    private class Exchange(val request: ByteArray, val timeoutMs: Long, val onResult: (HttpResult) -> Unit)

    private inner class ClientConnection(private val socket: TcpConnection) : TcpConnection.Receiver {
        private val messages = MessageAssembler(responseHeads, maxBodyBytes)
        private var current: Exchange? = null
        private var timeout: DisposableHandle? = null

        /**
         * Whether another request can be sent: the peer has neither closed the connection nor sent unrequested data.
         */
        val isUsable: Boolean get() = !socket.hasEnded && messages.bufferedBytes == 0

        init {
            socket.receive(this)
        }

        fun begin(exchange: Exchange) {
            current = exchange
            timeout = loop.runAfter(exchange.timeoutMs) { end(HttpResult.NoResponse, keep = false) }
            socket.send(exchange.request)
            if (socket.hasEnded) end(HttpResult.NoResponse, keep = false)
        }

        override fun onBytes(bytes: ByteArray, size: Int) {
            messages.add(bytes, size)
            if (current == null) return
            try {
                val message = messages.next() ?: return
                end(
                    HttpResult.Response(message.head.status, message.body),
                    keep = !message.head.framing.closesConnection,
                )
            } catch (expected: Exception) {
                // Not valid HTTP, or too large. Not only IOException: the parser throws its own exceptions.
                end(HttpResult.NoResponse, keep = false)
            }
        }

        override fun onEnd() = end(HttpResult.NoResponse, keep = false)

        private fun end(result: HttpResult, keep: Boolean) {
            val exchange = current
            current = null
            timeout?.dispose()
            timeout = null
            if (exchange != null) finish(exchange, result)
            if (keep && isUsable && canKeepIdle) idle.addLast(this) else close()
        }

        fun close() = socket.close()
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 1000L

        /** Shared by all clients: they run on one thread, and the heads of services' responses repeat. */
        val responseHeads = HeadReader.ofResponses()
    }
}
