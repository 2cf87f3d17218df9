package org.chalkhollow.runtime

import io.ktor.http.HttpMethod
import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.http.cio.parseRequest
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.io.readByteArray
import org.chalkhollow.settings.Address

/** What a request is answered with. */
class HttpReply(
    val status: Int,
    val body: ByteArray?,
    val retryAfterS: Int = 0,
    val type: String = "application/msgpack",
)

/**
 * A small HTTP/1.1 server on an [EventLoop] with the parser of Ktor's CIO engine: persistent connections, no
 * pipelining, bodies bounded, connections bounded, and slow or idle ones closed.
 */
class HttpServer(
    private val scope: CoroutineScope,
    private val loop: EventLoop,
    private val address: Address,
    private val maxConnections: Int,
    private val clock: () -> Long,
    private val beforeAccept: () -> Unit,
    private val priorityOf: (firstBytes: ByteArray) -> Priority,
    private val handler: suspend (method: String, path: String, body: ByteArray) -> HttpReply,
) {
    private class Connection(val socket: LoopSocket) {
        var activeAt = 0L
        var handling = false
    }

    private val connections = HashSet<Connection>()

    /** How many connections are open. */
    val connected: Int get() = connections.size
    private var sweptAt = 0L

    /** Binds the port and serves; throws when the port is taken. */
    fun start() {
        LoopSocket.listen(loop, address, BACKLOG, ::accepted)
        scope.launch {
            while (true) {
                delay(SWEEP_MS)
                sweep(IDLE_MS)
            }
        }
    }

    private fun accepted(socket: LoopSocket) {
        if (connections.size >= maxConnections && clock() - sweptAt > FULL_SWEEP_MS) sweep(IDLE_SHORT_MS)
        if (connections.size >= maxConnections) return socket.close()
        beforeAccept()
        val connection = Connection(socket)
        connection.activeAt = clock()
        connections.add(connection)
        val priority = TaskPriority(Priority.USER)
        socket.onFirstBytes = { priority.level = priorityOf(it) }
        scope.launch(priority, CoroutineStart.UNDISPATCHED) { talk(connection) }
    }

    private fun sweep(idleMs: Long) {
        val t = clock()
        sweptAt = t
        for (c in connections.filter { !it.handling && t - it.activeAt > idleMs }) {
            connections.remove(c)
            c.socket.close()
        }
    }

    private suspend fun talk(c: Connection) {
        try {
            while (true) {
                val request = parseRequest(c.socket) ?: break
                c.activeAt = clock()
                val method = request.method
                val path = request.uri.toString()
                val close = Http.closes(request.headers)
                val body = Http.body(scope, request.headers, c.socket, MAX_BODY)
                request.release()
                if (body == null) {
                    c.socket.send(bytes(HttpReply(413, null), true))
                    break
                }
                c.handling = true
                val reply = handler(if (method == HttpMethod.Get) "GET" else method.value, path, body)
                c.handling = false
                c.activeAt = clock()
                c.socket.send(bytes(reply, close))
                if (close) break
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Throwable) {
            // The other side went away or does not speak HTTP; the connection is all there is to clean up.
        } finally {
            connections.remove(c)
            c.socket.closeAfterSending()
        }
    }

    companion object {
        private const val MAX_BODY = 64 * 1024
        private const val BACKLOG = 4096
        private const val FULL_SWEEP_MS = 500L
        private const val SWEEP_MS = 5000L
        private const val IDLE_MS = 90_000L
        private const val IDLE_SHORT_MS = 15_000L
        private val REASONS =
            mapOf(
                200 to "OK",
                201 to "Created",
                400 to "Bad Request",
                404 to "Not Found",
                405 to "Method Not Allowed",
                413 to "Content Too Large",
                421 to "Misdirected Request",
                422 to "Unprocessable Content",
                503 to "Service Unavailable",
            )

        /** [r] as it goes over the wire. */
        internal fun bytes(r: HttpReply, close: Boolean): ByteArray {
            val b = RequestResponseBuilder()
            b.responseLine("HTTP/1.1", r.status, REASONS[r.status] ?: "Status")
            val body = r.body ?: Http.EMPTY
            if (body.isNotEmpty()) b.headerLine("Content-Type", r.type)
            b.headerLine("Content-Length", body.size.toString())
            if (r.retryAfterS > 0) b.headerLine("Retry-After", r.retryAfterS.toString())
            if (close) b.headerLine("Connection", "close")
            b.emptyLine()
            if (body.isNotEmpty()) b.bytes(body)
            return b.build().readByteArray()
        }
    }
}
