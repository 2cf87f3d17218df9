package org.chalkhollow.runtime

import kotlinx.coroutines.DisposableHandle
import org.chalkhollow.settings.Address

/** How a request ended. */
sealed interface HttpResult {
    class Answered(val status: Int, val body: ByteArray) : HttpResult

    /** It certainly never left this process. */
    data object NotSent : HttpResult

    data object NoResponse : HttpResult
}

/**
 * Requests to one address over a few persistent connections, one request at a time on each. What is made of their
 * results waits for its turn at [priority]. Links at [TaskPriority.CONTROL], on which leadership depends, are also read
 * before all others. It costs no coroutine, for the same reason as [HttpServerConnection].
 */
class HttpClient(
    private val loop: EventLoop,
    private val address: Address,
    private val maxBody: Int,
    private val maxIdle: Int,
    private val priority: TaskPriority,
) {
    private val idle = ArrayDeque<ClientConnection>()
    private val host = address.toString()
    private var closed = false

    /** Sends a request; [onResult] is called once, on the loop's thread, after [timeoutMs] at the latest. */
    fun request(method: String, path: String, body: ByteArray?, timeoutMs: Long, onResult: (HttpResult) -> Unit) {
        val exchange = Exchange(HttpWriter.request(method, host, path, body), timeoutMs, onResult)
        val connection = idleConnection()
        if (connection != null) return connection.begin(exchange)
        TcpConnection.connect(loop, address, priority == TaskPriority.CONTROL, minOf(timeoutMs, CONNECT_MS)) { socket ->
            if (socket == null) finish(exchange, HttpResult.NotSent) else ClientConnection(socket).begin(exchange)
        }
    }

    private class Exchange(val request: ByteArray, val timeoutMs: Long, val onResult: (HttpResult) -> Unit)

    private fun finish(exchange: Exchange, result: HttpResult) = loop.submit(priority) { exchange.onResult(result) }

    private val mayKeep: Boolean get() = !closed && idle.size < maxIdle

    private fun idleConnection(): ClientConnection? {
        while (true) {
            val connection = idle.removeLastOrNull() ?: return null
            if (connection.usable) return connection
            connection.close()
        }
    }

    fun close() {
        closed = true
        while (true) (idle.removeLastOrNull() ?: return).close()
    }

    private inner class ClientConnection(private val socket: TcpConnection) : TcpConnection.Receiver {
        private val messages = MessageAssembler(responseHeads, maxBody)
        private var current: Exchange? = null
        private var timeout: DisposableHandle? = null

        /** Not when the peer has closed, or sent something that nobody asked for. */
        val usable: Boolean get() = !socket.ended && messages.size == 0

        init {
            socket.receive(this)
        }

        fun begin(exchange: Exchange) {
            current = exchange
            timeout = loop.after(exchange.timeoutMs) { end(HttpResult.NoResponse, keep = false) }
            socket.send(exchange.request)
            if (socket.ended) end(HttpResult.NoResponse, keep = false)
        }

        override fun onBytes(bytes: ByteArray, size: Int) {
            messages.add(bytes, size)
            if (current == null) return
            try {
                val message = messages.next() ?: return
                end(HttpResult.Answered(message.head.status, message.body), keep = !message.head.framing.closes)
            } catch (expected: Exception) {
                end(HttpResult.NoResponse, keep = false) // no HTTP, or too much of it
            }
        }

        override fun onEnd() = end(HttpResult.NoResponse, keep = false)

        private fun end(result: HttpResult, keep: Boolean) {
            val exchange = current
            current = null
            timeout?.dispose()
            timeout = null
            if (exchange != null) finish(exchange, result)
            if (keep && usable && mayKeep) idle.addLast(this) else close()
        }

        fun close() = socket.close()
    }

    private companion object {
        const val CONNECT_MS = 1000L

        /** Shared by all links: they run on one thread, and services word their answers alike. */
        val responseHeads = HeadReader.ofResponses()
    }
}
